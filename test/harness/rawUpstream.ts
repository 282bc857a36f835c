/** An upstream that writes raw bytes, and attempts at it, without a fleet around them. */

import * as net from "node:net";
import type * as pool from "../../src/pool/index.js";
import * as clock from "../../src/kernel/clock.js";
import * as loop from "../../src/kernel/loop.js";
import * as attempt from "../../src/requests/attempt.js";
import * as upstreamAgent from "../../src/requests/upstreamAgent.js";

/** Writes to a connection on which a request has arrived. */
export type Answer = (socket: net.Socket, requestId: string) => void;

/** A listening upstream. */
export interface RawUpstream {
    /** Keeps connections for further attempts. */
    readonly agent: upstreamAgent.UpstreamAgent;
    /** Sets how the upstream answers each request from now on. */
    setAnswer(answer: Answer): void;
    countOpenConnections(): number;
    sendAttempt(options: SendOptions): Promise<attempt.AttemptResult>;
    stop(): void;
}

/** A request to a raw upstream. */
export interface SendOptions {
    readonly requestId: string;
    /** Whether the attempt may use a kept connection; otherwise it opens one of its own, as for orders. */
    readonly isPooled: boolean;
    readonly deadlineMs?: number;
    readonly onNotice?: attempt.SendAttemptOptions["onNotice"];
    /** Replaces fields of the service's definition. */
    readonly service?: object;
}

const defaultDeadlineMs = 2_000;

/** Starts a raw upstream whose responses repeat the request's header `request-id` and carry the header `response-seal`. */
export async function startRawUpstream(): Promise<RawUpstream> {
    let answerRequest: Answer = () => {};
    const connections = new Set<net.Socket>();
    const server = net.createServer(socket => {
        connections.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => connections.delete(socket));
        socket.on("data", data => {
            const requestId = /request-id: ([^\r]*)\r\n/i.exec(data.toString("latin1"))?.[1];
            if (requestId !== undefined) {
                answerRequest(socket, requestId);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const upstream = { getAddress: () => `127.0.0.1:${port}`, getId: () => "u1" } as pool.Upstream;
    const time = clock.createSystemClock();
    const timers = new loop.Loop({ clock: time, getLogger: () => undefined as never });
    const agent = new upstreamAgent.UpstreamAgent({ clock: time, keepAlive: true, onStrayBytes: () => {} });
    const sendAttempt = ({ requestId, isPooled, deadlineMs = defaultDeadlineMs, service, onNotice = () => {} }: SendOptions) => {
        const startedAt = time.getNow();
        return attempt.sendAttempt({
            context: { clock: time, loop: timers, identity: { instanceId: "i1" } },
            slot: { upstream, attempt: { startedAt } },
            service: { deadlineHeader: "deadline-ms", drainingHeader: "draining", echoHeader: "request-id", sealHeader: "response-seal", shed: { status: "any", header: "not-executed" }, ...service },
            request: { method: "GET", path: "/", rawHeaders: ["Host", "desk.example", "Request-Id", requestId], body: Buffer.alloc(0), deadlineAt: startedAt + deadlineMs },
            agent: isPooled ? agent : undefined,
            signal: new AbortController().signal,
            onNotice,
            getWaitMs: (ageMs: number) => ageMs >= deadlineMs ? "timedOut" : deadlineMs - ageMs,
        } as unknown as attempt.SendAttemptOptions);
    };
    return {
        agent,
        setAnswer: answer => {
            answerRequest = answer;
        },
        countOpenConnections: () => connections.size,
        sendAttempt,
        stop: () => {
            agent.destroy();
            connections.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

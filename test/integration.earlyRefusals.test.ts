/**
 * Guards against refusals that are lost because the instance closes the connection while the request's body still arrives:
 * the operating system then resets it, and the caller cannot tell that its order was not executed.
 */

import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 6;
const entriesTtlMs = 1_000;
const entriesGraceMs = 500;
const portClosesAfterMs = entriesTtlMs + entriesGraceMs;
/** A body that is still being sent when its request is refused. */
const largeBodyBytes = 8 * 1024 * 1024;
const pieceBytes = 1024 * 1024;
const pieceIntervalMs = 20;
const refusalsPerCase = 3;
/** Leaves time for bytes to arrive on a busy machine. */
const arrivalMs = 300;
/** What the exit may take after the port closed on a busy machine; less than connections wait for their callers. */
const exitToleranceMs = 2_500;

interface ReceivedResponse {
    readonly status: number;
    readonly isWhole: boolean;
    readonly receivedBytes: number;
    readonly error: string | undefined;
}

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** A caller that does not read before `readResponse`. */
class Caller {
    private readonly socket: net.Socket;
    private text = "";
    private isOver = false;
    private error: string | undefined;

    constructor(address: string) {
        const [host, port] = address.split(":");
        this.socket = net.connect({ port: Number(port), host: host!, allowHalfOpen: true }).pause();
        this.socket.on("data", chunk => {
            this.text += chunk.toString("latin1");
        });
        this.socket.on("error", (error: NodeJS.ErrnoException) => {
            this.error = error.code ?? error.message;
        });
        this.socket.once("end", () => this.finish()).once("close", () => this.finish());
        this.socket.pause();
    }

    sendRequest(path: string, method = "GET", headers = ""): void {
        this.socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: refused-${Math.random()}\r\nDeadline-Ms: 20000\r\n${headers}\r\n`);
    }

    /** Sends a large body, in pieces so that an error can be noticed in between, until the connection fails. */
    async sendBody(): Promise<void> {
        for (let sentBytes = 0; sentBytes < largeBodyBytes && this.error === undefined; sentBytes += pieceBytes) {
            this.socket.write(Buffer.alloc(pieceBytes, "x"));
            await wait(pieceIntervalMs);
        }
    }

    /** Reads until the first response is whole or the connection ends, and closes the connection. */
    async readResponse(): Promise<ReceivedResponse> {
        this.socket.resume();
        await processes.waitFor("the response is whole or its connection ends", () => this.isWhole() || this.isOver);
        this.socket.destroy();
        return { status: Number(/^HTTP\/1\.1 (\d+)/.exec(this.text)?.[1] ?? 0), isWhole: this.isWhole(), receivedBytes: this.text.length, error: this.error };
    }

    private isWhole(): boolean {
        const headLength = this.text.indexOf("\r\n\r\n") + 4;
        const head = this.text.slice(0, headLength);
        const isBodyWhole = /^transfer-encoding: chunked/im.test(head) ? this.text.endsWith("\r\n0\r\n\r\n") : this.text.length - headLength >= Number(/^content-length: (\d+)/im.exec(head)?.[1]);
        return headLength > 4 && isBodyWhole;
    }

    private finish(): void {
        this.isOver = true;
    }
}

void tap.test("refusals of requests whose body is still being sent", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 20_000 }]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "drain-timeout-ms": 600_000, "entries-ttl-ms": entriesTtlMs, "entries-grace-ms": entriesGraceMs });
    await platform.waitUntilReady(instance);
    const { caller, entries, ready, operator } = instance.addresses;
    const contentLength = `Content-Length: ${largeBodyBytes}\r\n`;
    const doTest = async (name: string, address: string, status: number, path: string, headers: string) => {
        for (const isReadWhileSending of [true, false]) {
            const received: ReceivedResponse[] = [];
            for (let count = 0; count < refusalsPerCase; count += 1) {
                const sender = new Caller(address);
                sender.sendRequest(path, "POST", headers);
                const sent = sender.sendBody();
                if (!isReadWhileSending) {
                    await sent;
                }
                received.push(await sender.readResponse());
                await sent;
            }
            t.strictSame(received.filter(response => response.status !== status || !response.isWhole), [], `${name}, read ${isReadWhileSending ? "while" : "after"} sending`);
        }
    };
    await doTest("a declared length over the limit", caller, 413, "/order/1", contentLength);
    await doTest("a chunked body over the limit", caller, 413, "/order/1", `Transfer-Encoding: chunked\r\n\r\n${largeBodyBytes.toString(16)}`);
    await doTest("no route, Connection: close", caller, 404, "/nowhere", `${contentLength}Connection: close\r\n`);
    await doTest("an invalid header", caller, 400, "/order/1", "not a header\r\n");
    await doTest("headers over the limit", caller, 431, "/order/1", `Filler: ${"x".repeat(20_000)}\r\n`);
    await doTest("the entries port", entries, 404, "/nowhere", `${contentLength}Connection: close\r\n`);
    await doTest("the readiness port", ready, 200, "/", `${contentLength}Connection: close\r\n`);
    await doTest("the operators' port", operator, 404, "/nowhere", `${contentLength}Connection: close\r\n`);

    const uploads = await Promise.all(Array.from({ length: refusalsPerCase }, () => instance.send("/order/1", { method: "POST", body: Buffer.alloc(largeBodyBytes) }).then(({ status }) => status, (error: Error) => error.message)));
    t.strictSame(uploads, Array.from({ length: refusalsPerCase }, () => 413), "a client of Node.js");

    await t.test("during a planned stop", async t => {
        const signalledAt = performance.now();
        instance.process.sendSignal("SIGTERM");
        await wait(arrivalMs);
        const late = new Caller(caller);
        late.sendRequest("/nowhere", "POST", contentLength);
        await late.sendBody();
        t.match(await late.readResponse(), { status: 404, isWhole: true });
        const silent = new Caller(caller);
        silent.sendRequest("/nowhere", "POST", contentLength);
        t.equal(await instance.process.waitForExit(), 0);
        const exitMs = performance.now() - signalledAt;
        t.ok(exitMs < portClosesAfterMs + exitToleranceMs, `a caller that does not close its connection does not hold up the exit, after ${Math.round(exitMs)} ms`);
        t.match(await silent.readResponse(), { status: 404, isWhole: true }, "the refusal of the silent caller");
    });
});

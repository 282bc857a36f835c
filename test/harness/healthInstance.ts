/** One instance that chooses upstreams by shared health estimates, with virtual time and without peers. */

import * as promClient from "prom-client";
import type * as configuration from "../../src/configuration/index.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as pool from "../../src/pool/index.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";
import * as virtualTime from "./virtualTime.js";

/** The number of upstreams of the service `s`; they are named u0, u1, ... and have three slots each. */
export const upstreamCount = 20;
const targetLatencyMs = 6_000;

interface LogLine {
    readonly event: string;
    readonly values: Readonly<Record<string, unknown>>;
}

/** Creates the instance. Its configuration has the service `s` with the given routes. */
export function createHealthInstance(seed: number, routes: readonly { readonly name: string; readonly repeatable: boolean; }[]) {
    const time = new virtualTime.VirtualTime();
    const logs: LogLine[] = [];
    const write = (event: string, _message: string, values: LogLine["values"]) => logs.push({ event, values });
    const context = {
        identity: { instanceId: "i1", failureDomain: "north", incarnation: 1 },
        clock: { getNow: () => time.now },
        loop: time,
        randomness: randomness.createSeededRandomness(seed),
        metrics: new promClient.Registry(),
        logger: { writeInfo: write, writeWarning: write },
    };
    const upstreams = Array.from({ length: upstreamCount }, (_, index) => ({ id: `u${index}`, address: `127.0.0.1:${index + 1}`, failureDomain: "north", state: "live" }));
    const document = {
        services: { s: { upstreams, slots: 3, minimumStallMs: 250 } },
        routes: routes.map(route => ({ ...route, service: "s", split: [] })),
    } as unknown as configuration.ConfigurationDocument;
    const upstreamPool = new pool.Pool(context as never);
    upstreamPool.setConfiguration(document);
    const health = new upstreamHealth.UpstreamHealth(
        {
            context,
            pool: upstreamPool,
            mesh: { setNoticeHandler: () => {}, addDisconnectListener: () => {}, listLinkedPeersByCell: () => new Map(), getCell: () => "north", getMember: () => undefined, hasCells: () => false, sendNotices: () => 0 },
            configuration: { addListener: (listener: (current: object) => void) => listener({ document }) },
        } as unknown as ConstructorParameters<typeof upstreamHealth.UpstreamHealth>[0],
    );
    health.start();
    const choose = (route: string, canRetry: boolean, excludedUpstreamIds: ReadonlySet<string> = new Set()) =>
        health.chooseUpstream({
            service: "s",
            route,
            isRepeatable: routes.some(({ name, repeatable }) => name === route && repeatable),
            isRetry: excludedUpstreamIds.size > 0,
            canRetry,
            excludedUpstreamIds,
            queuedMs: 0,
            targetLatencyMs,
            upstreams: upstreamPool.getServicePool("s")!.upstreams,
            now: time.now,
        });
    return { time, logs, upstreamPool, health, choose };
}

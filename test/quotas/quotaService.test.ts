/** Guards against malformed messages that change something or throw, and against messages and waits where there is one instance. */

import fc from "fast-check";
import * as promClient from "prom-client";
import tap from "tap";
import type * as errors from "../../src/kernel/errors.js";
import * as quotaLimits from "../../src/quotas/quotaLimits.js";
import * as quotaMessages from "../../src/quotas/quotaMessages.js";
import * as quotaService from "../../src/quotas/quotaService.js";
import * as virtualTime from "../harness/virtualTime.js";

const quota = { requestsPerSecond: 10, burst: 5 };

function createService() {
    const time = new virtualTime.VirtualTime();
    const logs: string[] = [];
    const log = (event: string) => logs.push(event);
    let handler: (body: unknown) => Promise<{ readonly isOk: () => boolean; }> = () => Promise.reject(new Error("no handler"));
    let listener: (compiled: object) => void = () => {};
    let sent = 0;
    const service = new quotaService.QuotaService({
        context: {
            identity: { instanceId: "self", incarnation: 1, failureDomain: "north" },
            clock: { getNow: () => time.now, getWallTime: () => time.now },
            loop: time,
            metrics: new promClient.Registry(),
            logger: { writeInfo: log, writeWarning: log },
        },
        mesh: {
            setHandler: (_topic: string, added: typeof handler) => handler = added,
            listLinkedPeers: () => [],
            listRelayPeers: () => [],
            countPeerAddresses: () => 0,
            hasCells: () => false,
            isCellRelay: () => false,
            listMembers: () => [{ instanceId: "self", state: "running" }],
            sendRequest: async () => {
                sent += 1;
                throw new Error("nobody to send to");
            },
        },
        configuration: { addListener: (added: typeof listener) => listener = added },
    } as unknown as quotaService.CreateQuotaServiceOptions);
    service.start();
    const setWorkspaces = (workspaces: object) => listener({ document: { workspaces } });
    return { service, time, logs, setWorkspaces, answer: (body: unknown) => handler(body), countSent: () => sent };
}

void tap.test("an instance alone admits by itself", async t => {
    const { service, time, setWorkspaces, countSent, logs } = createService();
    setWorkspaces({ limited: { quota }, free: {} });
    time.addTime(3_000);
    t.ok((await service.acquire("free")).isOk());
    t.ok((await service.acquire("")).isOk());
    const results = [];
    for (let index = 0; index < 30; index += 1) {
        const pending = service.acquire("limited");
        time.addTime(10);
        results.push(pending);
    }
    time.addTime(200);
    const settled = await Promise.all(results);
    const granted = settled.filter(result => result.isOk());
    // Beside the burst, 10 a second for 0.4 s with the wait; the slack makes up for the second without delegations after the start.
    const atMost = quota.burst + 0.4 * quota.requestsPerSecond + quotaLimits.createQuotaLimit("limited", quota).slack / 2;
    t.ok(granted.length >= 7 && granted.length <= atMost, `${granted.length} admitted, at most ${atMost}`);
    const refusals = settled.flatMap(result => result.isErr() ? [result.error] : []);
    t.ok(refusals.every(({ kind }: errors.FleetError) => kind === "quotaExceeded"));
    const delays = refusals.map(({ retryAfterMs }) => retryAfterMs!);
    t.ok(delays.every(delayMs => delayMs >= 20 && delayMs <= 10_000) && new Set(delays).size > delays.length / 2, "callers are told different times");
    t.equal(countSent(), 0);
    t.ok(logs.includes("quota-refused"));

    await t.test("credit of a request that was not executed is used again", async t => {
        time.addTime(2_000);
        const permits = await Promise.all([0, 1, 2, 3, 4].map(() => service.acquire("limited")));
        permits.forEach(permit => permit._unsafeUnwrap().restoreCredit());
        permits.forEach(permit => permit._unsafeUnwrap().restoreCredit());
        const again = [0, 1, 2, 3, 4, 5, 6, 7].map(() => service.acquire("limited"));
        time.addTime(50);
        const settledAgain = await Promise.race([Promise.all(again.slice(0, 5)), new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), 100))]);
        t.ok(settledAgain?.every(result => result.isOk()));
        time.addTime(500);
        t.ok((await Promise.all(again)).some(result => result.isErr()), "it counts once");
    });
    await t.test("a limit of 0 or none is no limit", async t => {
        setWorkspaces({ limited: { quota: { requestsPerSecond: 0, burst: 0 } } });
        const all = await Promise.all(Array.from({ length: 100 }, () => service.acquire("limited")));
        t.ok(all.every(result => result.isOk()));
    });
});

void tap.test("malformed messages change nothing", async t => {
    const { service, time, setWorkspaces, answer, logs } = createService();
    setWorkspaces({ limited: { quota } });
    time.addTime(3_000);
    const before = JSON.stringify(service.getDump());
    const valid = quotaMessages.encodeAsk({ ownerId: "self", instanceId: "b", incarnation: 1, sequence: 1, memberCount: 2, isMember: true, shards: 5, stamp: undefined, wants: [{ key: 1, needed: 1, ahead: 0, returned: 0 }] });
    const mutate = fc.tuple(fc.nat(valid.length - 1), fc.oneof(fc.anything(), fc.constantFrom(-1, 2 ** 60, Number.NaN, "", [1], [1, 2, 3], [[1, -1, 0, 0]], [[2 ** 50, 0, 0, 0]]))).map(([index, value]) =>
        valid.map((item: unknown, position) => position === index ? value : item)
    );
    await fc.assert(fc.asyncProperty(fc.oneof(fc.anything(), mutate), async body => {
        if (quotaMessages.decodeAsk(body) === undefined) {
            const result = await answer(body);
            t.notOk(result.isOk());
        }
        quotaMessages.decodeReply(body);
    }));
    t.equal(JSON.stringify(service.getDump()), before);
    t.ok(logs.filter(event => event === "quota-message-malformed").length === 1, "one line a second");
    t.strictSame(quotaMessages.encodeAsk(quotaMessages.decodeAsk(valid)!), valid);
    t.ok((await answer(valid)).isOk());
});

/**
 * Guards against an order key that is granted to two instances, because the store returned with a copy in which the first
 * claim is missing. Seeded runs of a few instances with a store that is away and returns, and instances that are suspended,
 * or killed and started again.
 */

import { err, ok, type Result } from "neverthrow";
import tap from "tap";
import type * as context from "../../src/kernel/context.js";
import * as errors from "../../src/kernel/errors.js";
import * as orderKeyClaims from "../../src/orders/orderKeyClaims.js";
import * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";
import * as plan from "../soak/plan.js";

const instanceCount = 4;
const runLengthMs = 60_000;
/** Of a claim's holder and its witnesses, one must live as long as a copy is old and an outage lasts. */
const killIntervalMs = 12_000;
const maximumCopyAgeMs = 8_000;
const seeds = 60;
const orderKeys = Array.from({ length: 12 }, (_, index) => `key-${index}`);

interface SimulatedInstance {
    readonly claims: orderKeyClaims.OrderKeyClaims;
    readonly incarnation: number;
    /** Whether it was killed. */
    isDead: boolean;
    /** Until then it neither reads responses nor hears from its peers, in milliseconds. */
    suspendedUntil: number;
}

/** Lets the pending promise callbacks run. */
async function runPending(): Promise<void> {
    for (let turn = 0; turn < 12; turn += 1) {
        await Promise.resolve();
    }
}

/** Runs instances against one store; returns the holders of each key, and how often the store returned with an older copy. */
async function runSeed(seed: number) {
    const time = new virtualTime.VirtualTime();
    const getRandom = plan.createRandomGenerator(seed);
    let entries = new Map<string, store.Entry>();
    let copy = { entries: new Map(entries), revision: 0 };
    let revision = 0;
    let generation = 1;
    let isAway = false;
    let restores = 0;
    const registers = new Map<string, Map<string, unknown>>();
    const listeners = new Map<string, (origin: string, body: unknown) => void>();
    const handlers = new Map<string, (body: unknown) => Promise<Result<unknown, errors.FleetError>>>();
    const instances = new Map<string, SimulatedInstance>();
    const holders = new Map<string, Set<string>>();

    /** Runs a task of an instance after a delay, and after the instance was suspended; never once it was killed. */
    const scheduleAt = (id: string, delayMs: number, task: () => void, instance = instances.get(id)): () => void =>
        time.scheduleOnce(delayMs, () => {
            if (instance === undefined || instance.isDead) {
                return;
            }
            if (instance.suspendedUntil > time.now) {
                scheduleAt(id, instance.suspendedUntil - time.now, task, instance);
                return;
            }
            task();
        });

    const createInstance = (id: string, incarnation: number) => {
        const known = new store.StoreGeneration();
        const sendCall = <T>(run: () => T): store.StoreResult<T> =>
            new Promise(resolve =>
                time.scheduleOnce(1 + getRandom() * 40, () => {
                    const reply = isAway ? undefined : { generation, value: run() };
                    scheduleAt(id, 1 + getRandom() * 40, () => {
                        const isUsable = reply !== undefined && known.recordGeneration(reply.generation) !== "older";
                        resolve(isUsable ? ok(reply.value) : err(errors.createError("storeUnavailable")));
                    });
                })
            );
        const service = {
            generation: known,
            getPrefix: () => "",
            getEntry: (key: string) => sendCall(() => entries.get(key)),
            createLease: () => sendCall(() => "lease"),
            swapEntry: async ({ key, expectedRevision, value }: store.SwapRequest) => {
                const sentIn = known.getCurrent();
                let answeredIn = 0;
                const result = await sendCall((): store.SwapResult => {
                    answeredIn = generation;
                    const current = entries.get(key);
                    if ((current?.revision ?? 0) !== expectedRevision) {
                        return { kind: "conflict", ...(current === undefined ? {} : { current }) };
                    }
                    revision += 1;
                    entries.set(key, { key, value, revision });
                    return { kind: "swapped", revision };
                });
                return sentIn !== undefined && answeredIn !== sentIn ? err(errors.createError("storeUnavailable")) : result;
            },
        };
        const mesh = {
            setRegister: (topic: string, body: unknown) => {
                const values = registers.get(topic) ?? new Map<string, unknown>();
                registers.set(topic, values);
                values.set(id, body);
                [...instances.keys()].filter(other => other !== id).forEach(other => scheduleAt(other, 1 + getRandom() * 20, () => listeners.get(other)!(id, body)));
            },
            getRegisters: (topic: string) => registers.get(topic) ?? new Map(),
            addListener: (_topic: string, listener: (origin: string, body: unknown) => void) => listeners.set(id, listener),
            listLinkedPeers: () => [...instances.keys()].filter(other => other !== id),
            getMember: (other: string) => ({ state: instances.get(other)!.isDead || instances.get(other)!.suspendedUntil > time.now ? "suspect" : "running" }),
            setHandler: (_topic: string, handler: (body: unknown) => Promise<Result<unknown, errors.FleetError>>) => handlers.set(id, handler),
            sendRequest: (peer: string, _topic: string, body: unknown) =>
                new Promise(resolve => scheduleAt(peer, 1 + getRandom() * 20, () => void handlers.get(peer)!(body).then(result => scheduleAt(id, 1 + getRandom() * 20, () => resolve(result))))),
            listMembers: () => [...instances].map(([instanceId, { isDead, suspendedUntil }]) => ({ instanceId, state: isDead || suspendedUntil > time.now ? "suspect" : "running" })),
        };
        const fakeContext = {
            identity: { instanceId: id, incarnation, failureDomain: id },
            settings: { orderClaimTtlMs: 86_400_000 },
            clock: { getNow: () => time.now },
            randomness: { getFraction: getRandom },
            loop: { scheduleOnce: (delayMs: number, task: () => void) => scheduleAt(id, delayMs, task) },
            logger: { writeInfo: () => {}, writeWarning: () => {}, writeError: () => {} },
        } as unknown as context.Context;
        instances.set(id, { claims: new orderKeyClaims.OrderKeyClaims(fakeContext, service as unknown as store.StoreService, mesh as never), incarnation, isDead: false, suspendedUntil: -Infinity });
        // Every instance hears from the store now and then, at the latest from its peers.
        const callStore = () => {
            void service.getEntry("other");
            scheduleAt(id, 500 + getRandom() * 3_000, callStore);
        };
        callStore();
    };
    Array.from({ length: instanceCount }, (_, index) => createInstance(`i${index}`, 1));

    let nextKillAt = time.now + killIntervalMs;
    let copiedAt = time.now;
    let restoreAt = Infinity;
    for (const startedAt = time.now; time.now < startedAt + runLengthMs; await time.runTime(10, runPending)) {
        await runPending();
        if (time.now >= restoreAt) {
            entries = new Map(copy.entries);
            revision = copy.revision;
            generation += 1;
            restores += 1;
            isAway = false;
            restoreAt = Infinity;
        }
        if (!isAway && (getRandom() < 0.002 || time.now - copiedAt > maximumCopyAgeMs)) {
            copy = { entries: new Map(entries), revision };
            copiedAt = time.now;
        }
        if (!isAway && getRandom() < 0.0015) {
            isAway = true;
            restoreAt = time.now + 100 + getRandom() * 2_000;
        }
        const ids = [...instances.keys()];
        const id = ids[Math.floor(getRandom() * ids.length)]!;
        if (getRandom() < 0.002) {
            instances.get(id)!.suspendedUntil = time.now + getRandom() * 6_000;
        }
        if (time.now >= nextKillAt) {
            const killed = instances.get(id)!;
            nextKillAt = time.now + killIntervalMs * (1 + getRandom());
            killed.isDead = true;
            time.scheduleOnce(500 + getRandom() * 2_000, () => {
                registers.forEach(values => values.delete(id));
                createInstance(id, killed.incarnation + 1);
            });
        }
        const key = `${orderKeys[Math.floor(getRandom() * orderKeys.length)]!}-${Math.floor(time.now / 10_000)}`;
        const { claims, incarnation, isDead, suspendedUntil } = instances.get(id)!;
        if (getRandom() < 0.1 && !isDead && suspendedUntil < time.now) {
            void claims.claimKey(key).then(result => result.isOk() && result.value.kind === "claimed" ? holders.set(key, (holders.get(key) ?? new Set()).add(`${id}.${incarnation}`)) : undefined);
        }
    }
    return { holders, restores };
}

void tap.test("a granted claim is never granted to another instance", async t => {
    let granted = 0;
    let restored = 0;
    for (let seed = 1; seed <= seeds; seed += 1) {
        const { holders, restores } = await runSeed(seed);
        granted += holders.size;
        restored += restores;
        t.strictSame([...holders].filter(([, ids]) => ids.size > 1).map(([key, ids]) => `${key}: ${[...ids].join(" ")}`), [], `seed ${seed}`);
    }
    t.ok(granted > seeds * 10 && restored > seeds, `${granted} keys were granted, and the store returned ${restored} times`);
});

/**
 * Guards against member entries that stay lost after the store returned with an older copy, against all instances writing
 * at once, and against ending a lease whose number now belongs to another instance.
 */

import { ok } from "neverthrow";
import tap from "tap";
import * as registration from "../../src/membership/registration.js";
import * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";

const instanceCount = 40;
const writtenWithinMs = 2_000;

async function runPending(): Promise<void> {
    for (let turn = 0; turn < 60; turn += 1) {
        await Promise.resolve();
    }
}

/** Starts instances that register in one store; `restore` returns with an empty store. */
async function startInstances() {
    const time = new virtualTime.VirtualTime();
    const ids = Array.from({ length: instanceCount }, (_, index) => `i${index}`);
    const generations: store.StoreGeneration[] = [];
    const removedLeases: string[] = [];
    const writes: { readonly key: string; readonly at: number; }[] = [];
    let random = 0;
    let current = 1;
    const registrations = ids.map(instanceId => {
        const generation = new store.StoreGeneration();
        generations.push(generation);
        const answer = async <T>(value: T) => {
            generation.recordGeneration(current);
            return ok(value);
        };
        const created = new registration.Registration({
            context: {
                clock: { getNow: () => time.now },
                identity: { instanceId },
                settings: { memberLeaseS: 600 },
                loop: time,
                randomness: { getFraction: () => (random = (random + 0.37) % 1) },
                logger: { writeInfo: () => {} },
            },
            mesh: { listLinkedPeers: () => ["peer"], listMembers: () => ids.map(id => ({ instanceId: id, state: "running" })), getMember: () => undefined, addSeeds: () => {}, hasCells: () => false, isCellRelay: () => false },
            store: {
                generation,
                getPrefix: () => "",
                listEntries: () => answer({ entries: [], revision: 1 }),
                getEntry: () => answer(undefined),
                createLease: () => answer(`lease-${instanceId}`),
                swapEntry: ({ key }: store.SwapRequest) => {
                    writes.push({ key, at: time.now });
                    return answer({ kind: "swapped", revision: 1 });
                },
                removeLease: (leaseId: string) => {
                    removedLeases.push(leaseId);
                    return answer(undefined);
                },
            },
        } as unknown as registration.CreateRegistrationOptions);
        created.start();
        return created;
    });
    await runPending();
    const writtenAtStart = writes.splice(0).length;
    return { time, registrations, removedLeases, writes, writtenAtStart, restore: () => current += 1, learn: () => generations.forEach(generation => generation.recordGeneration(current)) };
}

void tap.test("a few instances write their entries again, not all at the same time", async t => {
    const { time, writes, writtenAtStart, restore, learn } = await startInstances();
    t.equal(writtenAtStart, instanceCount);
    restore();
    learn();
    const restoredAt = time.now;
    await time.runTime(writtenWithinMs, runPending);
    t.equal(new Set(writes.map(({ key }) => key)).size, 6);
    t.equal(writes.length, 6);
    t.ok(new Set(writes.map(({ at }) => at)).size > 3 && writes.every(({ at }) => at - restoredAt <= writtenWithinMs));
    await time.runTime(301_000, runPending);
    t.equal(new Set(writes.map(({ key }) => key)).size, instanceCount, "the others write theirs when their renewal is due");
});

void tap.test("an instance that ends does not end a lease that the store no longer has", async t => {
    const { registrations, removedLeases, restore } = await startInstances();
    await registrations[0]!.drain();
    t.strictSame(removedLeases, ["lease-i0"]);
    restore();
    await registrations[1]!.drain();
    t.strictSame(removedLeases, ["lease-i0"], "the read before it tells that the lease is gone");
});

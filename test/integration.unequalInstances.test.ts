/**
 * Guards against settings that have no effect in a running process: weights of unequal instances that do not reach the entry points
 * that others list, and retries that are not lent although an instance runs short.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

/** They cover about 40 choices; an instance with a quarter of the weight is in none of them once in 100,000 runs. */
const answers = 130;
const answerIntervalMs = 60;

async function listAddresses(instance: platform.PlatformInstance): Promise<readonly string[]> {
    const { body } = await processes.sendRequest(`http://${instance.addresses.entries}/v1/entries?failureDomain=north`);
    return (JSON.parse(body.toString()) as { readonly addresses: readonly string[]; }).addresses;
}

async function readLent(instances: readonly platform.PlatformInstance[], direction: string): Promise<number> {
    const texts = await Promise.all(instances.map(async ({ addresses }) => (await processes.sendRequest(`http://${addresses.operator}/metrics`)).body.toString()));
    return texts.reduce((sum, text) => sum + Number(new RegExp(`^agatebend_retries_lent_total\\{direction="${direction}"\\} (\\S+)`, "m").exec(text)?.[1] ?? 0), 0);
}

void tap.test("unequal instances", async t => {
    const testPlatform = await platform.startPlatform(2);
    t.teardown(() => testPlatform.stop());
    const lending = { "retry-slack-sharing": "demand", "retry-window-s": 1, "retry-ratio": 0, "retry-slack": 12 };
    const cores = [1, 1, 0.25, 0.25];
    const instances = await Promise.all(cores.map(capacity => testPlatform.startInstance("north", { ...lending, "capacity-cores": capacity, "capacity-link-mbps": 100 })));
    await Promise.all(instances.map(platform.waitUntilReady));

    await t.test("small instances are listed in fewer answers, by every instance", async t => {
        await processes.waitFor("the small instances are left out", async () => (await Promise.all(instances.map(listAddresses))).every(addresses => addresses.length < 4), 10_000);
        const counts = new Map<string, number>();
        for (let index = 0; index < answers; index += 1) {
            (await listAddresses(instances[index % instances.length]!)).forEach(address => counts.set(address, (counts.get(address) ?? 0) + 1));
            await new Promise(resolve => setTimeout(resolve, answerIntervalMs));
        }
        const [first = 0, second = 0, ...small] = instances.map(({ addresses }) => (counts.get(addresses.caller) ?? 0) / answers);
        t.ok(small.every(share => share > 0 && share < Math.min(first, second)), `the large ones in ${first.toFixed(2)} and ${second.toFixed(2)} of the answers, the small ones in ${small.map(share => share.toFixed(2)).join(" and ")}`);
    });

    await t.test("an instance that runs short borrows retries", async t => {
        await testPlatform.workers[0]!.setBehaviour({ failPart: 1 });
        await testPlatform.workers[1]!.setBehaviour({ failPart: 1 });
        const [first, ...others] = instances as [platform.PlatformInstance, ...platform.PlatformInstance[]];
        await processes.waitFor("others have lent retries", async () => {
            await Promise.all(Array.from({ length: 10 }, () => first.send("/look/1").catch(() => undefined)));
            return await readLent(others, "lent") > 0;
        }, 20_000);
        t.ok(await readLent([first], "borrowed") > 0);
    });
});

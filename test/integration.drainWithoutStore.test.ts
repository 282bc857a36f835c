/**
 * Guards against a planned stop that waits for the store before it stops taking requests. During an outage of the store, the
 * instance stayed listed and took requests for longer than the platform's grace allowed, and was killed while they ran.
 */

import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 6;
const storeTimeoutMs = 2_000;
const entriesTtlMs = 1_000;
const entriesGraceMs = 1_000;
/** The time in which peers hear of the shutdown, and the tolerance of the port's closing. */
const toleranceMs = 700;

function isListening(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect(Number(port), host);
        socket.once("connect", () => resolve(true)).once("error", () => resolve(false));
        socket.once("connect", () => socket.destroy());
    });
}

void tap.test("a planned stop while the store does not answer", async t => {
    const testPlatform = await platform.startPlatform(2);
    t.teardown(() => testPlatform.stop());
    const flags = { "kill-after-s": killAfterS, "drain-timeout-ms": 600_000, "store-timeout-ms": storeTimeoutMs, "entries-ttl-ms": entriesTtlMs, "entries-grace-ms": entriesGraceMs };
    const [stopped, other] = [await testPlatform.startInstance("north", flags), await testPlatform.startInstance("south", flags)];
    await Promise.all([stopped, other].map(platform.waitUntilReady));
    const listAddresses = async () => (JSON.parse((await processes.sendRequest(`http://${other.addresses.entries}/v1/entries`)).body.toString()) as { readonly addresses: readonly string[]; }).addresses;
    await processes.waitFor("both instances are listed", async () => (await listAddresses()).length === 2);
    await processes.waitFor("the instance is registered", () => stopped.listLogs("member-registered").length > 0);
    await testPlatform.store.setBehaviour({ failure: "silent" });
    const signalledAt = performance.now();
    stopped.process.sendSignal("SIGTERM");
    await processes.waitFor("the stopping instance is no longer listed", async () => !(await listAddresses()).includes(stopped.addresses.caller));
    const unlistedMs = performance.now() - signalledAt;
    t.ok(unlistedMs <= toleranceMs, `unlisted after ${Math.round(unlistedMs)} ms`);
    await processes.waitFor("the callers' port is closed", async () => !await isListening(stopped.addresses.caller));
    const closedMs = performance.now() - signalledAt;
    t.ok(closedMs <= entriesTtlMs + entriesGraceMs + toleranceMs, `the callers' port closed after ${Math.round(closedMs)} ms`);
    t.equal(await stopped.process.waitForExit(), 0, "the process ends by itself");
    t.ok(performance.now() - signalledAt < killAfterS * 1_000, "before the platform kills it");
});

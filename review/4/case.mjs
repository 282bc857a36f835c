// The store is silent for 4.5 s. A machine is stopped by SIGTERM meanwhile; clients keep to the addresses that the directory gave them.
// OUTAGE=0 leaves the outage of the store out, and has the SIGTERM alone.
import * as client from "../lib/client.mjs";
import * as fleet from "../lib/fleet.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

const graceS = 6;
/** The dose of `platform_down`: 4.5 s. */
const outage = { fromS: -0.5, toS: 4 };
/** When clients ask the directory, in seconds from the SIGTERM; some keep the answer three times as long as it says. */
const askedAtS = [0.7, 0.75, 0.8, 0.85, 0.9];
const kept = 3;
const lengthS = 9;
const workMs = 2_650;
const timeoutS = 2.8;

await fleet.runCase(import.meta.dirname, async ({ record, cleanups, withTrouble }) => {
    const hasOutage = withTrouble && process.env.OUTAGE !== "0";
    const store = await new Store().start();
    cleanups.push(() => store.stop());
    store.put("op/config", fleet.createConfiguration(7, [{ name: "order", prefix: "/pufi791/", kind: "unsafe", service: "huvo11a", timeoutMs: timeoutS * 1_000, targetLatencyMs: 3_000 }, { name: "look", prefix: "/lohu930/", kind: "safe", service: "huvo11a" }], ["huvo11a"]));
    const runs = new Map();
    const workers = await Promise.all(Array.from({ length: 24 }, (_, index) => new Worker({ slots: 6, service: "huvo11a", zone: ["north", "middle", "south"][index % 3], work: request => request.method === "POST" ? workMs : 20, onRun: ({ id, worker }) => runs.set(id, worker.id) }).start()));
    cleanups.push(() => workers.forEach(worker => worker.exit()));
    workers.forEach(worker => worker.register(store));
    const instances = await fleet.createInstances(store);
    cleanups.push(async () => {
        await Promise.all(instances.map(instance => instance.end()));
        instances.remove();
    });
    instances.forEach(instance => instance.start());
    for (const instance of instances) {
        await fleet.waitUntilReady(instance);
    }
    await fleet.waitFor("all machines are registered", () => instances.every(({ name }) => store.items.has(`/agatebend/members/${name}`)));
    // Lookups in the background, by which the machines know the workers.
    let turns = 0;
    const background = setInterval(() => {
        turns += 1;
        void client.send(instances[1 + turns % 2].front, { path: "/lohu930/2f", deadlineMs: 2_000 });
    }, 15);
    cleanups.push(() => clearInterval(background));
    await fleet.sleep(4_000);

    const [stopped] = instances;
    const signalAt = performance.now() + 1_000;
    const second = () => (performance.now() - signalAt) / 1_000;
    const until = at => fleet.sleep(Math.max(0, at * 1_000 - second() * 1_000));
    const pending = [];
    if (hasOutage) {
        store.intercept = () => second() >= outage.fromS && second() < outage.toS;
    }
    void until(0).then(() => {
        if (withTrouble) {
            record(`SIGTERM to ${stopped.name}${hasOutage ? ", while the store does not answer" : ""}`);
            stopped.process.kill("SIGTERM");
        }
    });
    void until(graceS).then(() => {
        if (withTrouble && stopped.isRunning()) {
            record(`graceS is over: SIGKILL to ${stopped.name}`);
            stopped.process.kill("SIGKILL");
        }
    });
    // Each client asks the directory once, and sends an order on a new connection every 150 ms, to one of the addresses at random, for as long as it keeps the answer.
    const clients = askedAtS.map(async askedAt => {
        await until(askedAt);
        const addresses = await client.resolve([stopped, ...instances.slice(1)], "north");
        const failed = new Set();
        record(`a client asks the directory ${second().toFixed(2)} s after the signal and gets ${addresses.length} addresses, ${addresses.includes(stopped.front) ? "the stopping machine among them" : "without the stopping machine"}`);
        const keptUntil = second() + kept;
        while (second() < keptUntil) {
            const usable = addresses.filter(address => !failed.has(address));
            const address = usable[Math.floor(Math.random() * usable.length)];
            pending.push(client.send(address, { method: "POST", path: "/pufi791/2f", body: "order", deadlineMs: 5_000 }).then(answer => {
                if (answer.reason === "ECONNREFUSED") {
                    failed.add(address);
                }
                return answer;
            }));
            await fleet.sleep(150);
        }
    });
    await Promise.all(clients);
    await until(lengthS);
    const answers = await Promise.all(pending);
    let lost = 0;
    for (const { id, address, end, status, reason, startedAt, endedAt } of answers) {
        const sentS = (startedAt - signalAt) / 1_000;
        const endS = (endedAt - signalAt) / 1_000;
        // Not counted: a worker still at work in the last sixth of graceS on a request that was sent no later than 3 s after the SIGTERM.
        const isLost = withTrouble && address === stopped.front && runs.has(id) && end === "cut" && endS <= graceS + 1 && endS - sentS < timeoutS && sentS > 3;
        lost += Number(isLost);
        if (address === stopped.front) {
            record(`order ${id} sent to ${stopped.name} at ${sentS.toFixed(3)} s: ${runs.has(id) ? `run by ${runs.get(id)}` : "reaches no worker"}; ${end === "complete" ? status : `${end} (${reason})`} at ${endS.toFixed(3)} s${isLost ? "  LOST" : ""}`);
        }
    }
    record(`${stopped.name}: ${JSON.stringify(stopped.exits)}`);
    const served = answers.filter(({ status }) => status === 200).length;
    record(`${answers.length} orders were sent, ${served} served; ${lost} were passed on to a worker and got no answer`);
    return lost > 0 || (!withTrouble && answers.some(({ end }) => end === "cut"));
});

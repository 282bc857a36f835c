// Workers lapse while they are partitioned from the store; then the store returns from an older copy. Are they used again?
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import * as lib from "../lib-3/lib.mjs";

const host = "shop.example";
const machineCount = 24;
const zones = ["concepcion", "talcahuano", "chillan"];
const workerCount = 10;
const partitionedCount = 2;
/** The bounds of the pages, in milliseconds. */
const heartbeatMs = 1_500;
const drainMs = 2_500;
const stableWindowMs = 3_000;
/** Limits and times of the disruptions, in milliseconds: the partition of workers, and the drill after their entries have lapsed. */
const partitionMs = 10_000;
const partitionAfterBeatMs = 800;
const outageAfterMs = 600;
const outageMs = 2_000;
/** Requests are judged from this long after the bounds on, so that no clock or timer of this test decides. */
const marginMs = 100;

/** A store whose entries of workers lapse after three heartbeat intervals of silence, and that can return from a copy. */
class DrillStore extends lib.Store {
    era = 1;
    isAway = false;
    /** When the entries of workers lapse, by key. */
    lapses = new Map();

    async answer(request, response) {
        const url = new URL(request.url, "http://store");
        if (this.isAway) {
            response.writeHead(503, { "store-era": this.era, "content-length": 0 }).end();
            return;
        }
        response.setHeader("store-era", this.era);
        if (url.pathname === "/api/kv-watch" && Number(url.searchParams.get("after")) > this.revision) {
            response.writeHead(410, { "content-length": 0 }).end();
            return;
        }
        await super.answer(request, response);
    }

    /** A worker's heartbeat. */
    beat(worker) {
        const key = `servers/${worker.id}`;
        if (!this.isAway && !this.items.has(key)) {
            this.write({ [key]: worker.createEntry() });
        }
        if (!this.isAway) {
            this.lapses.set(key, lib.now() + 3 * heartbeatMs);
        }
    }

    /** Removes the entries that have lapsed; returns their keys. */
    removeLapsed() {
        const keys = this.isAway ? [] : [...this.lapses].filter(([key, at]) => at <= lib.now() && this.items.has(key)).map(([key]) => key);
        keys.forEach(key => this.write({ [key]: undefined }));
        return keys;
    }

    takeCopy() {
        const left = [...this.lapses].map(([key, at]) => [key, at - lib.now()]);
        return { items: new Map(this.items), events: [...this.events], revision: this.revision, leases: new Map(this.leases), nextLease: this.nextLease, left };
    }

    goAway() {
        this.isAway = true;
        this.waiting.clear();
        this.server.closeAllConnections();
    }

    /** Returns from a copy. The time that the workers' entries have left pauses until then. */
    returnFrom({ left, ...copy }) {
        Object.assign(this, copy);
        this.lapses = new Map(left.map(([key, ms]) => [key, lib.now() + ms]));
        this.era += 1;
        this.isAway = false;
        return lib.now();
    }
}

await lib.runCase(path.dirname(fileURLToPath(import.meta.url)), async record => {
    const store = await new DrillStore().start();
    const workers = [];
    for (let index = 0; index < workerCount; index += 1) {
        workers.push(await new lib.Worker(record, { id: `desk-${index}`, service: "desk", workMs: 40, zone: zones[index % zones.length] }).start());
    }
    store.write({
        "op/config": lib.createConfiguration(7, {
            host,
            services: ["desk"],
            routes: [{ name: "look", prefix: "/look/", kind: "safe", service: "desk" }, { name: "order", prefix: "/order/", kind: "unsafe", service: "desk" }],
        }),
    });
    const partitioned = workers.slice(0, partitionedCount);
    let isPartitioned = false;
    let isRunning = true;
    let lastBeatAt = -Infinity;
    const beats = async () => {
        while (isRunning) {
            lastBeatAt = lib.now();
            workers.filter(worker => !isPartitioned || !partitioned.includes(worker)).forEach(worker => store.beat(worker));
            await lib.sleep(heartbeatMs);
        }
    };
    const lapsed = [];
    const lapseChecks = async () => {
        while (isRunning) {
            for (const key of store.removeLapsed()) {
                lapsed.push({ key, at: lib.now() });
                record(`store: ${key} has lapsed and is removed`);
            }
            await lib.sleep(10);
        }
    };
    const running = [beats(), lapseChecks()];
    const ips = lib.createIps(machineCount);
    const machines = ips.map((_, index) => new lib.Machine(record, index, {
        ips,
        zones: ips.map((_, machine) => zones[machine % zones.length]),
        storeAddresses: ips.map(() => store.address),
        bounds: { retrySlack: 158 },
        limits: { memoryMb: 602, cpuShare: 1.35, linkMbps: 140 },
    }).start());
    for (const machine of machines) {
        await lib.waitFor(`${machine.name} is ready`, () => machine.isReady());
    }
    await lib.sleep(8_000);

    const sent = new Map();
    const clients = machines.flatMap(machine => ["GET", "POST"].map(async method => {
        for (let count = 0; isRunning; count += 1) {
            const id = `${machine.name}-${method}-${count}`;
            sent.set(id, lib.now());
            record(`${id} sent`);
            void lib.send({ address: machine.addresses.front, method, path: method === "GET" ? "/look/1" : "/order/1", body: method === "GET" ? undefined : "order", headers: { host, "request-id": id, "deadline-ms": 4_000 } }).then(({ status, headers }) => record(`${id} answered ${status} ${headers?.["response-seal"] ?? ""}`));
            await lib.sleep(160 + Math.random() * 80);
        }
    }));
    await lib.sleep(3_000);

    await lib.waitFor("the next heartbeat", () => lib.now() - lastBeatAt < partitionAfterBeatMs / 2);
    await lib.sleep(lastBeatAt + partitionAfterBeatMs - lib.now());
    isPartitioned = true;
    const partitionedAt = lib.now();
    record(`${partitioned.map(({ id }) => id).join(", ")} are partitioned from the store`);
    const copy = store.takeCopy();
    record(`store: a copy is taken at revision ${copy.revision}`);
    await lib.waitFor("the entries of the partitioned workers lapse", () => lapsed.length >= partitionedCount);
    const acknowledgedAt = lib.now();
    let judgedFrom = acknowledgedAt + drainMs;
    await lib.sleep(outageAfterMs);
    let returnedAt = lib.now();
    if (lib.hasTrouble) {
        store.goAway();
        record("store: away");
        await lib.sleep(outageMs);
        returnedAt = store.returnFrom(copy);
        judgedFrom = Math.max(judgedFrom, returnedAt + stableWindowMs);
        record(`store: returned from the copy, era ${store.era}, revision ${store.revision}`);
    }
    await lib.sleep(partitionedAt + partitionMs - lib.now());
    const endedAt = lib.now();
    isPartitioned = false;
    record("the partition has ended");
    await lib.sleep(1_000);
    isRunning = false;
    await Promise.all([...clients, ...running]);
    await lib.sleep(500);

    for (const machine of machines) {
        machine.output.split("\n").filter(line => /"event":"(store-restored|directory-copy-read|upstream-found|upstream-gone)"/.test(line)).forEach(line => {
            const { context: { upstream }, message, time } = JSON.parse(line);
            if (time - Date.now() > partitionedAt - lib.now() && (upstream === undefined || partitioned.some(({ id }) => id === upstream))) {
                record(`log of ${machine.name} at ${((time - Date.now() + lib.now()) / 1000).toFixed(3)}: ${message}`);
            }
        });
    }
    const arrivals = partitioned.flatMap(worker => worker.arrivals.filter(({ requestId, outcome }) => sent.has(requestId) && outcome !== "421").map(arrival => ({ worker, ...arrival })));
    const isLate = from => ({ requestId, at }) => sent.get(requestId) > from + marginMs && at < endedAt;
    const late = arrivals.filter(isLate(judgedFrom));
    late.forEach(({ requestId, worker }) => record(`LATE ${requestId}, sent ${Math.round(sent.get(requestId) - acknowledgedAt)} ms after the store had acknowledged that ${worker.id} is gone, ${Math.round(sent.get(requestId) - returnedAt)} ms after its return, reached it`));
    record(`${sent.size} requests; ${arrivals.filter(isLate(acknowledgedAt + drainMs)).length} sent later than drainS reached a worker that was gone, ${late.length} of them at machines in touch`);
    return late.length > 0 ? `${late.length} requests that were sent later than drainS reached a worker that was gone, from machines in touch` : undefined;
});

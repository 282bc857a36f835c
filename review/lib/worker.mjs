// A stand-in of a worker, as PROTOCOL.md describes it.
import crypto from "node:crypto";
import http from "node:http";

let count = 0;

export function sealOf(id, body) {
    return `${id}.${body.length}.${crypto.createHash("sha256").update(body).digest("hex").slice(0, 16)}`;
}

export class Worker {
    state = "ready";
    seq = 0;
    running = 0;
    queue = [];
    born = Date.now();
    /** Changes the answer to one request: returns true if it has answered itself. */
    spoil = () => false;

    /**
     * @param options.work - The milliseconds that a request takes, by request.
     * @param options.createBody - The answer's body, by request.
     * @param options.onRun - Called when a request begins to run.
     */
    constructor(options) {
        count += 1;
        this.id = options.id ?? `i-${crypto.createHash("sha256").update(`${process.pid} ${count} ${Date.now()}`).digest("hex").slice(0, 8)}`;
        Object.assign(this, { slots: 3, queueLength: 12, zone: "north", heartbeatMs: 1_500 }, options);
    }

    async start(host = "127.0.0.1") {
        this.server = http.createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 10_000;
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        return this;
    }

    entry() {
        return { service: this.service, address: this.address, failureDomain: this.zone, version: "v1", slots: this.slots, state: this.state, coldLeftMs: 0, seq: this.seq, born: this.born };
    }

    /** Registers in the store, and renews the entry at every heartbeat. */
    register(store) {
        const write = () => {
            this.seq += 1;
            store.put(`servers/${this.id}`, this.entry());
        };
        this.beat = setInterval(write, this.heartbeatMs);
        write();
    }

    stopBeat() {
        clearInterval(this.beat);
    }

    /** Exits: connections end, and whatever runs is lost. */
    exit() {
        this.stopBeat();
        this.server.closeAllConnections();
        this.server.close();
    }

    receive(request, response) {
        const chunks = [];
        request.on("error", () => {});
        response.on("error", () => {});
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => this.admit(request, response, Buffer.concat(chunks)));
    }

    refuse(response, status, id, extra = {}) {
        response.writeHead(status, { ...(id === undefined ? {} : { "Request-Id": id }), "Not-Executed": "1", "Content-Length": 0, ...extra });
        response.end();
    }

    admit(request, response, body) {
        const id = request.headers["request-id"];
        if (request.url === "/health") {
            response.writeHead(this.state === "ready" ? 200 : 503, { "Instance-Id": this.id, "Content-Length": 0 });
            return void response.end();
        }
        if (id === undefined) {
            return void this.refuse(response, 400, id);
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            return void this.refuse(response, 421, id, { "Instance-Id": this.id });
        }
        const job = { request, response, id, body, until: performance.now() + Number(request.headers["deadline-ms"] ?? 30_000) };
        if (this.running >= this.slots && this.queue.length >= this.queueLength) {
            return void this.refuse(response, 503, id);
        }
        this.queue.push(job);
        this.next();
    }

    next() {
        while (this.running < this.slots && this.queue.length > 0) {
            const job = this.queue.shift();
            if (job.response.destroyed || job.response.socket === null) {
                continue;
            }
            if (performance.now() >= job.until) {
                this.refuse(job.response, 503, job.id);
                continue;
            }
            this.run(job);
        }
    }

    run({ request, response, id, body }) {
        this.running += 1;
        this.onRun?.({ worker: this, id, request, body });
        let isOver = false;
        const end = () => {
            if (!isOver) {
                isOver = true;
                this.running -= 1;
                clearTimeout(timer);
                this.next();
            }
        };
        const timer = setTimeout(() => {
            const answer = this.createBody?.(request, id) ?? Buffer.from(`${id} ok\n`);
            if (!response.destroyed && this.spoil({ request, response, id, answer }) !== true) {
                response.writeHead(200, { "Request-Id": id, "Response-Seal": sealOf(this.id, answer), "Content-Length": answer.length, "Content-Type": "application/octet-stream" });
                response.end(answer);
            }
            end();
        }, this.work?.(request, id) ?? 20);
        response.once("close", end);
    }
}

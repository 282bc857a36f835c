// A stand-in of the platform's metadata store, as PROTOCOL.md describes it, with the names of deploy/wire.toml.
import http from "node:http";

export class Store {
    items = new Map();
    events = [];
    revision = 400;
    discarded = 0;
    leases = new Map();
    watches = new Set();
    /** Called before each call; returns true if it has dealt with the call itself (as a store in trouble does). */
    intercept = () => false;

    async start(host = "127.0.0.1") {
        this.server = http.createServer((request, response) => this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        return this;
    }

    stop() {
        this.server.closeAllConnections();
        this.server.close();
        this.leases.forEach(lease => clearTimeout(lease.timer));
    }

    /** One change: all puts and deletes get the same revision, as a transaction's answer has one `revision`. */
    change({ puts = [], deletes = [] }) {
        this.revision += 1;
        const { revision } = this;
        for (const { key, value, lease = 0 } of puts) {
            const item = { key, value, revision, createRev: this.items.get(key)?.createRev ?? revision, lease };
            this.items.set(key, item);
            this.events.push(item);
        }
        for (const key of deletes) {
            if (this.items.delete(key)) {
                this.events.push({ key, revision, deleted: true });
            }
        }
        [...this.watches].forEach(check => check());
        return revision;
    }

    put(key, value) {
        return this.change({ puts: [{ key, value: Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64") }] });
    }

    remove(...keys) {
        return this.change({ deletes: keys });
    }

    receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => {});
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            if (this.intercept({ request, response, url }) === true) {
                return;
            }
            const text = Buffer.concat(chunks).toString();
            setTimeout(() => this.answer(request.method, url, text === "" ? {} : JSON.parse(text), response), 4);
        });
    }

    reply(response, status, body = {}) {
        const text = JSON.stringify(body);
        response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
    }

    answer(method, url, body, response) {
        const query = name => url.searchParams.get(name) ?? "";
        const call = `${method} ${url.pathname}`;
        if (call === "GET /api/kv-key") {
            const item = this.items.get(query("key"));
            return this.reply(response, item ? 200 : 404, { ...item, asOf: this.revision });
        }
        if (call === "GET /api/kv-range") {
            const found = [...this.items.values()].filter(({ key }) => key.startsWith(query("prefix")) && key > query("after")).sort((a, b) => (a.key < b.key ? -1 : 1));
            return this.reply(response, 200, { items: found.slice(0, 500), hasMore: found.length > 500, asOf: this.revision });
        }
        if (call === "GET /api/kv-watch") {
            return this.watch(query("prefix"), Number(query("after")), Number(query("waitMs")), response);
        }
        if (call === "POST /api/kv-txn") {
            const rows = body.expectRev ?? [];
            if (rows.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
                return this.reply(response, 412, { items: rows.map(({ key }) => this.items.get(key) ?? { key, revision: 0 }) });
            }
            if ((body.puts ?? []).some(({ lease }) => lease && !this.leases.has(lease))) {
                return this.reply(response, 404);
            }
            return this.reply(response, 200, { revision: this.change(body) });
        }
        if (call === "POST /api/kv-lease") {
            this.revision += 1;
            const id = this.revision;
            this.renew(id, Math.max(1_000, body.ttlMs));
            return this.reply(response, 200, { lease: id, ttlMs: this.leases.get(id).ttlMs });
        }
        const keep = /^POST \/api\/kv-keep\/(\d+)$/.exec(call);
        if (keep) {
            const lease = this.leases.get(Number(keep[1]));
            lease && this.renew(Number(keep[1]), lease.ttlMs);
            return this.reply(response, lease ? 200 : 404, lease ? { ttlMs: lease.ttlMs } : {});
        }
        const end = /^DELETE \/api\/kv-lease-end\/(\d+)$/.exec(call);
        if (end) {
            const known = this.leases.has(Number(end[1]));
            this.endLease(Number(end[1]));
            return this.reply(response, known ? 200 : 404);
        }
        return this.reply(response, 404);
    }

    renew(id, ttlMs) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    }

    endLease(id) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.delete(id);
        [...this.items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => this.change({ deletes: [key] }));
    }

    watch(prefix, after, waitMs, response) {
        const finish = events => {
            clearTimeout(timer);
            this.watches.delete(check);
            if (events === undefined) {
                return this.reply(response, 410);
            }
            return this.reply(response, 200, { events, asOf: this.revision });
        };
        const check = () => {
            if (after < this.discarded) {
                return finish(undefined);
            }
            const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
            return events.length > 0 ? finish(events) : undefined;
        };
        const timer = setTimeout(() => finish([]), waitMs);
        this.watches.add(check);
        response.once("close", () => {
            clearTimeout(timer);
            this.watches.delete(check);
        });
        check();
    }
}

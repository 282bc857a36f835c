/** A stand-in for the users' key-value service, as their protocol page describes it, with faults to order. */

import * as fs from "node:fs";
import * as http from "node:http";
import * as control from "./control.js";

interface Item {
    readonly value: string;
    readonly revision: number;
    readonly createRev: number;
    readonly lease: number;
}

interface StoreEvent {
    readonly key: string;
    readonly revision: number;
    readonly deleted?: true;
    readonly item?: Item;
}

interface Transaction {
    readonly expectRev?: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts?: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly deletes?: readonly string[];
    readonly ttlMs?: number;
}

/** What a control port may change. */
export interface KvStoreBehaviour {
    /** How calls fail: not at all, with a status, with a reset, or by silence. */
    failure: "none" | "busy" | "many" | "reset" | "silent";
    delayMs: number;
    /** Changes are made and their replies are lost, so many times. */
    lostReplies: number;
}

const pageItems = 50;
/** The parameters of the protocol's reads; like any field, they go by the names that the deployment asks for. */
const parameterNames = ["key", "prefix", "after", "waitMs", "serializable"] as const;
type ParameterName = (typeof parameterNames)[number];

/** Returns the name that deploy/wire.toml gives each parameter. */
function readParameterNames(): ReadonlyMap<ParameterName, string> {
    const [, fields = ""] = /^\[fields\]$([^[]*)/m.exec(fs.readFileSync("deploy/wire.toml", "utf8")) ?? [];
    const renamed = new Map([...fields.matchAll(/^(\w+) = "(\w+)"$/gm)].map(([, from, to]) => [from!, to!]));
    return new Map(parameterNames.map(name => [name, renamed.get(name) ?? name]));
}

/** Starts a store; returns its ports. */
export async function startKvStore() {
    const items = new Map<string, Item>();
    let events: StoreEvent[] = [];
    let revision = 100;
    let oldestKept = 0;
    const leases = new Map<number, { readonly ttlMs: number; timer: NodeJS.Timeout; }>();
    const waiting = new Set<() => void>();
    const behaviour: KvStoreBehaviour = { failure: "none", delayMs: 0, lostReplies: 0 };
    const calls: Record<string, number> = {};
    const names = readParameterNames();
    const getParameter = (query: URLSearchParams, name: ParameterName) => query.get(names.get(name)!) ?? "";

    const format = (key: string, { value, revision: at, createRev, lease }: Item) => ({ key, value, revision: at, createRev, lease });
    const change = (key: string, value: string | undefined, lease: number) => {
        const before = items.get(key);
        if (value === undefined && before === undefined) {
            return;
        }
        revision += 1;
        if (value === undefined) {
            items.delete(key);
            events.push({ key, revision, deleted: true });
            return;
        }
        const item = { value, revision, createRev: before?.createRev ?? revision, lease };
        items.set(key, item);
        events.push({ key, revision, item });
    };
    const wake = () => [...waiting].forEach(check => check());
    const setValue = (key: string, value: unknown) => {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        change(key, value === undefined ? undefined : Buffer.from(text).toString("base64"), 0);
        wake();
    };
    const endLease = (id: number) => {
        leases.delete(id);
        [...items].filter(([, item]) => item.lease === id).forEach(([key]) => change(key, undefined, 0));
        wake();
    };
    const keepLease = (id: number, ttlMs: number) => {
        clearTimeout(leases.get(id)?.timer);
        leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
    };
    const reply = (response: http.ServerResponse, status: number, body: unknown = {}) => {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    };
    const watch = (query: URLSearchParams, response: http.ServerResponse) => {
        const after = Number(getParameter(query, "after"));
        const prefix = getParameter(query, "prefix");
        const check = () => {
            const found = events.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (found.length > 0 || after < oldestKept) {
                finish(found);
            }
        };
        const finish = (found: readonly StoreEvent[]) => {
            clearTimeout(timer);
            waiting.delete(check);
            if (after < oldestKept) {
                reply(response, 410);
                return;
            }
            reply(response, 200, { events: found.map(event => event.item === undefined ? { key: event.key, revision: event.revision, deleted: true } : format(event.key, event.item)), asOf: revision });
        };
        const timer = setTimeout(() => waiting.has(check) ? finish([]) : undefined, Number(getParameter(query, "waitMs")));
        response.once("close", () => {
            clearTimeout(timer);
            waiting.delete(check);
        });
        waiting.add(check);
        check();
    };
    const commit = (body: Transaction, response: http.ServerResponse) => {
        const conflicts = (body.expectRev ?? []).filter(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) !== expected);
        if (conflicts.length > 0) {
            reply(response, 412, { items: (body.expectRev ?? []).map(({ key }) => ({ key, ...(items.has(key) ? format(key, items.get(key)!) : {}) })) });
            return;
        }
        if ((body.puts ?? []).some(put => (put.lease ?? 0) !== 0 && !leases.has(put.lease!))) {
            reply(response, 404);
            return;
        }
        body.puts?.forEach(put => change(put.key, put.value, put.lease ?? 0));
        body.deletes?.forEach(key => change(key, undefined, 0));
        wake();
        if (behaviour.lostReplies > 0) {
            behaviour.lostReplies -= 1;
            response.destroy();
            return;
        }
        reply(response, 200, { revision });
    };
    const answer = (url: URL, method: string, body: Transaction, response: http.ServerResponse) => {
        const name = url.pathname.slice("/api/".length).replace(/\/\d+$/, "");
        const lease = Number(/\d+$/.exec(url.pathname)?.[0] ?? 0);
        calls[name] = (calls[name] ?? 0) + 1;
        const handlers: Readonly<Record<string, () => void>> = {
            "GET kv-key": () => {
                const key = getParameter(url.searchParams, "key");
                const item = items.get(key);
                reply(response, item === undefined ? 404 : 200, item === undefined ? { asOf: revision } : { ...format(key, item), asOf: revision });
            },
            "GET kv-range": () => {
                const found = [...items].filter(([key]) => key.startsWith(getParameter(url.searchParams, "prefix")) && key > (getParameter(url.searchParams, "after"))).sort(([a], [b]) => a < b ? -1 : 1);
                reply(response, 200, { items: found.slice(0, pageItems).map(([key, item]) => format(key, item)), hasMore: found.length > pageItems, asOf: revision });
            },
            "GET kv-watch": () => watch(url.searchParams, response),
            "POST kv-txn": () => commit(body, response),
            "POST kv-lease": () => {
                revision += 1;
                keepLease(revision, body.ttlMs ?? 1_000);
                reply(response, 200, { lease: revision, ttlMs: body.ttlMs });
            },
            "POST kv-keep": () => {
                const known = leases.get(lease);
                if (known !== undefined) {
                    keepLease(lease, known.ttlMs);
                }
                reply(response, known === undefined ? 404 : 200, { ttlMs: known?.ttlMs });
            },
            "DELETE kv-lease-end": () => {
                clearTimeout(leases.get(lease)?.timer);
                endLease(lease);
                reply(response, 200);
            },
        };
        const handle = handlers[`${method} ${name}`];
        const hasUnknown = [...url.searchParams.keys()].some(asked => ![...names.values()].includes(asked));
        if (hasUnknown) {
            return reply(response, 400, { error: "unknown parameter" });
        }
        return handle === undefined ? reply(response, 404) : handle();
    };
    const server = http.createServer((request, response) => {
        let text = "";
        request.on("data", chunk => {
            text += String(chunk);
        });
        request.on("end", () => {
            if (behaviour.failure === "reset") {
                request.socket.resetAndDestroy();
            }
            else if (behaviour.failure === "busy" || behaviour.failure === "many") {
                reply(response, behaviour.failure === "busy" ? 503 : 429);
            }
            else if (behaviour.failure === "none") {
                setTimeout(() => answer(new URL(request.url ?? "/", "http://store"), request.method ?? "", text === "" ? {} : JSON.parse(text) as Transaction, response), behaviour.delayMs);
            }
        });
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ revision, calls, keys: [...items.keys()], behaviour }),
        setBehaviour: ({ put, remove, dropHistory, cutWatches, ...more }) => {
            Object.assign(behaviour, more);
            if (behaviour.failure !== "none") {
                waiting.clear();
            }
            if (behaviour.failure !== "none" && behaviour.failure !== "silent") {
                // Where it is silent, the connections that wait stay so for good, as over a cut link.
                server.closeAllConnections();
            }
            Object.entries(put ?? {}).forEach(([key, value]) => setValue(key, value));
            (remove as readonly string[] | undefined)?.forEach(key => setValue(key, undefined));
            if (dropHistory === true) {
                oldestKept = revision;
                events = [];
                wake();
            }
            if (cutWatches === true) {
                server.closeAllConnections();
            }
        },
    });
    return { port, controlPort };
}

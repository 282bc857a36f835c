/** A stand-in for the key-value service of the users' platform, with fault injection. */

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

/** The contents at the time of a copy. */
interface StoreCopy {
    readonly items: ReadonlyMap<string, Item>;
    readonly leases: ReadonlyMap<number, number>;
    readonly events: readonly StoreEvent[];
    readonly revision: number;
}

/** How a copy is restored. */
interface RestoreOptions {
    /** The time after which the operator and the workers write again what they wrote since the copy, in milliseconds. */
    readonly rewriteAfterMs?: number;
}

/** The behaviour that the control port can change. */
export interface KvStoreBehaviour {
    /** How calls fail: "busy" answers 503, "many" answers 429, "reset" resets the connection, "silent" never answers. */
    failure: "none" | "busy" | "many" | "reset" | "silent";
    delayMs: number;
    /** The number of transactions that will still take effect without a reply. */
    lostReplies: number;
}

const pageSize = 50;
/** The query parameters of the protocol's reads. Deployments can rename them, like any field. */
const parameterNames = ["key", "prefix", "after", "waitMs", "serializable"] as const;
type ParameterName = (typeof parameterNames)[number];

/** Reads the deployment's names of the parameters from deploy/wire.toml. */
function readParameterNames(): ReadonlyMap<ParameterName, string> {
    const [, fields = ""] = /^\[fields\]$([^[]*)/m.exec(fs.readFileSync("deploy/wire.toml", "utf8")) ?? [];
    const renamed = new Map([...fields.matchAll(/^(\w+) = "(\w+)"$/gm)].map(([, from, to]) => [from!, to!]));
    return new Map(parameterNames.map(name => [name, renamed.get(name) ?? name]));
}

/** Starts a key-value service; returns its ports. */
export async function startKvStore() {
    const items = new Map<string, Item>();
    let events: StoreEvent[] = [];
    let revision = 100;
    let lastDiscardedRevision = 0;
    const leases = new Map<number, { readonly ttlMs: number; timer: NodeJS.Timeout; }>();
    const pendingWatches = new Set<() => void>();
    const behaviour: KvStoreBehaviour = { failure: "none", delayMs: 0, lostReplies: 0 };
    const calls: Record<string, number> = {};
    /** What the control port wrote since the copy was taken: the last value of each key, undefined if it was removed. */
    let rewritten = new Map<string, unknown>();
    /** What is still to be written again after a copy was restored. A later write of the key takes its place. */
    let pendingRewrites = new Map<string, unknown>();
    let copy: StoreCopy | undefined;
    let era = 1;
    const parameterAliases = readParameterNames();
    const getParameter = (query: URLSearchParams, name: ParameterName) => query.get(parameterAliases.get(name)!) ?? "";

    const formatItem = (key: string, { value, revision: at, createRev, lease }: Item) => ({ key, value, revision: at, createRev, lease });
    const applyChange = (key: string, value: string | undefined, lease: number) => {
        const before = items.get(key);
        if (value === undefined && before === undefined) {
            return;
        }
        if (value === undefined) {
            items.delete(key);
            events.push({ key, revision, deleted: true });
            return;
        }
        const item = { value, revision, createRev: before?.createRev ?? revision, lease };
        items.set(key, item);
        events.push({ key, revision, item });
    };
    /** Applies changes as one transaction, so that all of them have the same revision. */
    const applyChanges = (changes: readonly { readonly key: string; readonly value: string | undefined; readonly lease: number; }[]) => {
        if (changes.some(({ key, value }) => value !== undefined || items.has(key))) {
            revision += 1;
        }
        changes.forEach(({ key, value, lease }) => applyChange(key, value, lease));
    };
    const notifyWatches = () => [...pendingWatches].forEach(check => check());
    const encodeValue = (value: unknown) => Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");
    const setValues = (values: readonly (readonly [key: string, value: unknown])[]) => {
        applyChanges(values.map(([key, value]) => ({ key, value: value === undefined ? undefined : encodeValue(value), lease: 0 })));
        notifyWatches();
    };
    const removeLease = (id: number) => {
        leases.delete(id);
        applyChanges([...items].filter(([, item]) => item.lease === id).map(([key]) => ({ key, value: undefined, lease: 0 })));
        notifyWatches();
    };
    const renewLease = (id: number, ttlMs: number) => {
        clearTimeout(leases.get(id)?.timer);
        leases.set(id, { ttlMs, timer: setTimeout(() => removeLease(id), ttlMs) });
    };
    const reply = (response: http.ServerResponse, status: number, body: unknown = {}) => {
        response.writeHead(status, { "content-type": "application/json", "store-era": era });
        response.end(JSON.stringify(body));
    };
    const watch = (query: URLSearchParams, response: http.ServerResponse) => {
        const after = Number(getParameter(query, "after"));
        const prefix = getParameter(query, "prefix");
        const isGone = () => after < lastDiscardedRevision || after > revision;
        const check = () => {
            const found = events.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (found.length > 0 || isGone()) {
                finish(found);
            }
        };
        const finish = (found: readonly StoreEvent[]) => {
            clearTimeout(timer);
            pendingWatches.delete(check);
            if (isGone()) {
                reply(response, 410);
                return;
            }
            reply(response, 200, { events: found.map(event => event.item === undefined ? { key: event.key, revision: event.revision, deleted: true } : formatItem(event.key, event.item)), asOf: revision });
        };
        const timer = setTimeout(() => pendingWatches.has(check) ? finish([]) : undefined, Number(getParameter(query, "waitMs")));
        response.once("close", () => {
            clearTimeout(timer);
            pendingWatches.delete(check);
        });
        pendingWatches.add(check);
        check();
    };
    const takeCopy = () => {
        copy = { items: new Map(items), leases: new Map([...leases].map(([id, { ttlMs }]) => [id, ttlMs])), events: [...events], revision };
        rewritten = new Map();
    };
    /** Returns with the copy: what the fleet wrote since is gone, and its revisions and leases are given out again. */
    const restoreCopy = ({ rewriteAfterMs = 0 }: RestoreOptions) => {
        if (copy === undefined) {
            return;
        }
        server.closeAllConnections();
        pendingWatches.clear();
        leases.forEach(({ timer }) => clearTimeout(timer));
        leases.clear();
        items.clear();
        copy.items.forEach((item, key) => items.set(key, item));
        copy.leases.forEach((ttlMs, id) => renewLease(id, ttlMs));
        events = [...copy.events];
        revision = copy.revision;
        era += 1;
        const pending = new Map(rewritten);
        pendingRewrites = pending;
        setTimeout(() => pending.forEach((value, key) => setValues([[key, value]])), rewriteAfterMs);
    };
    const commit = (body: Transaction, response: http.ServerResponse) => {
        const conflicts = (body.expectRev ?? []).filter(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) !== expected);
        if (conflicts.length > 0) {
            reply(response, 412, { items: (body.expectRev ?? []).map(({ key }) => ({ key, ...(items.has(key) ? formatItem(key, items.get(key)!) : {}) })) });
            return;
        }
        if ((body.puts ?? []).some(put => (put.lease ?? 0) !== 0 && !leases.has(put.lease!))) {
            reply(response, 404);
            return;
        }
        applyChanges([...(body.puts ?? []).map(({ key, value, lease }) => ({ key, value, lease: lease ?? 0 })), ...(body.deletes ?? []).map(key => ({ key, value: undefined, lease: 0 }))]);
        notifyWatches();
        if (behaviour.lostReplies > 0) {
            behaviour.lostReplies -= 1;
            response.destroy();
            return;
        }
        reply(response, 200, { revision });
    };
    const handleRequest = (url: URL, method: string, body: Transaction, response: http.ServerResponse) => {
        const name = url.pathname.slice("/api/".length).replace(/\/\d+$/, "");
        const lease = Number(/\d+$/.exec(url.pathname)?.[0] ?? 0);
        calls[name] = (calls[name] ?? 0) + 1;
        const handlers: Readonly<Record<string, () => void>> = {
            "GET kv-key": () => {
                const key = getParameter(url.searchParams, "key");
                const item = items.get(key);
                reply(response, item === undefined ? 404 : 200, item === undefined ? { asOf: revision } : { ...formatItem(key, item), asOf: revision });
            },
            "GET kv-range": () => {
                const found = [...items].filter(([key]) => key.startsWith(getParameter(url.searchParams, "prefix")) && key > (getParameter(url.searchParams, "after"))).sort(([a], [b]) => a < b ? -1 : 1);
                reply(response, 200, { items: found.slice(0, pageSize).map(([key, item]) => formatItem(key, item)), hasMore: found.length > pageSize, asOf: revision });
            },
            "GET kv-watch": () => watch(url.searchParams, response),
            "POST kv-txn": () => commit(body, response),
            "POST kv-lease": () => {
                revision += 1;
                renewLease(revision, body.ttlMs ?? 1_000);
                reply(response, 200, { lease: revision, ttlMs: body.ttlMs });
            },
            "POST kv-keep": () => {
                const existingLease = leases.get(lease);
                if (existingLease !== undefined) {
                    renewLease(lease, existingLease.ttlMs);
                }
                reply(response, existingLease === undefined ? 404 : 200, { ttlMs: existingLease?.ttlMs });
            },
            "DELETE kv-lease-end": () => {
                clearTimeout(leases.get(lease)?.timer);
                removeLease(lease);
                reply(response, 200);
            },
        };
        const handler = handlers[`${method} ${name}`];
        const hasUnknownParameter = [...url.searchParams.keys()].some(parameter => ![...parameterAliases.values()].includes(parameter));
        if (hasUnknownParameter) {
            return reply(response, 400, { error: "unknown parameter" });
        }
        return handler === undefined ? reply(response, 404) : handler();
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
                setTimeout(() => handleRequest(new URL(request.url ?? "/", "http://store"), request.method ?? "", text === "" ? {} : JSON.parse(text) as Transaction, response), behaviour.delayMs);
            }
        });
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ revision, era, calls, keys: [...items.keys()], behaviour }),
        setBehaviour: ({ put, remove, dropHistory, cutWatches, takeCopy: takesCopy, restoreCopy: restoreOptions, ...behaviourChange }) => {
            if (takesCopy === true) {
                takeCopy();
            }
            if (restoreOptions !== undefined) {
                restoreCopy(restoreOptions as RestoreOptions);
            }
            Object.assign(behaviour, behaviourChange);
            if (behaviour.failure !== "none") {
                pendingWatches.clear();
            }
            if (behaviour.failure !== "none" && behaviour.failure !== "silent") {
                // "silent" keeps open connections waiting forever, like a link that drops all packets.
                server.closeAllConnections();
            }
            const written = [...Object.entries(put ?? {}), ...(remove as readonly string[] | undefined ?? []).map(key => [key, undefined] as const)];
            written.forEach(([key, value]) => {
                rewritten.set(key, value);
                pendingRewrites.delete(key);
            });
            setValues(Object.entries(put ?? {}));
            setValues((remove as readonly string[] | undefined ?? []).map(key => [key, undefined]));
            if (dropHistory === true) {
                lastDiscardedRevision = revision;
                events = [];
                notifyWatches();
            }
            if (cutWatches === true) {
                server.closeAllConnections();
            }
        },
    });
    return { port, controlPort };
}

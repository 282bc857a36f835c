/** A stand-in for an etcd store: the subset of the etcd v3 JSON gateway that the adapter uses, with fault injection. */

import * as http from "node:http";
import * as control from "./control.js";

interface StoredValue {
    readonly value: string;
    readonly revision: number;
    readonly lease?: string;
}

interface Watch {
    readonly from: string;
    readonly to: string;
    readonly response: http.ServerResponse;
}

interface RequestBody {
    readonly key?: string;
    readonly range_end?: string;
    readonly compare?: readonly { readonly key: string; readonly mod_revision: string; }[];
    readonly success?: readonly { readonly request_put: { readonly key: string; readonly value: string; readonly lease?: string; }; }[];
    readonly TTL?: string;
    readonly ID?: string;
    readonly create_request?: { readonly key: string; readonly range_end: string; readonly start_revision?: string; };
}

/** Starts an etcd store; returns its ports. */
export async function startEtcdStore() {
    let entries = new Map<string, StoredValue>();
    let backup = new Map<string, StoredValue>();
    let revision = 1;
    let leaseId = 0;
    const leases = new Map<string, number>();
    const watches = new Set<Watch>();
    const history: { readonly key: string; readonly stored: StoredValue; }[] = [];
    /** `isAway` closes every connection. The next `lostReplies` transactions on keys that contain `lostKey` take effect without a reply. */
    const behaviour = { isAway: false, delayMs: 0, lostReplies: 0, lostKey: "" };
    const calls: Record<string, number> = {};

    const createHeader = () => ({ revision: String(revision) });
    const encode = (text: string) => Buffer.from(text, "latin1").toString("base64");
    const decode = (text: string) => Buffer.from(text, "base64").toString("latin1");
    const formatEntry = (key: string, stored: StoredValue) => ({ key: encode(key), value: stored.value, mod_revision: String(stored.revision) });
    const isInRange = (key: string, from: string, to: string) => to === "" ? key === from : key >= from && key < to;
    const listRange = (from: string, to: string) => [...entries].filter(([key]) => isInRange(key, from, to)).map(([key, stored]) => formatEntry(key, stored));
    const notify = (key: string, stored: StoredValue) => {
        for (const watch of watches) {
            if (isInRange(key, watch.from, watch.to)) {
                watch.response.write(`${JSON.stringify({ result: { header: createHeader(), events: [{ kv: formatEntry(key, stored) }] } })}\n`);
            }
        }
    };
    const put = (key: string, value: string, lease: string | undefined) => {
        revision += 1;
        const stored = { value, revision, lease };
        entries.set(key, stored);
        history.push({ key, stored });
        notify(key, stored);
    };
    const compareAndSwap = (body: RequestBody) => {
        const compare = body.compare![0]!;
        const key = decode(compare.key);
        if (String(entries.get(key)?.revision ?? 0) !== compare.mod_revision) {
            return { header: createHeader(), responses: [{ response_range: { kvs: listRange(key, "") } }] };
        }
        const putRequest = body.success![0]!.request_put;
        put(decode(putRequest.key), putRequest.value, putRequest.lease);
        return { header: createHeader(), succeeded: true, responses: [{ response_put: {} }] };
    };
    const grantLease = (ttl: string) => {
        leaseId += 1;
        leases.set(String(leaseId), Number(ttl));
        return { ID: String(leaseId), TTL: ttl };
    };
    const openWatch = (body: RequestBody, response: http.ServerResponse) => {
        const { key, range_end: end, start_revision: start } = body.create_request!;
        const watch = { from: decode(key), to: decode(end), response };
        response.write(`${JSON.stringify({ result: { header: createHeader(), created: true } })}\n`);
        history.filter(change => change.stored.revision >= Number(start ?? 0) && isInRange(change.key, watch.from, watch.to))
            .forEach(change => response.write(`${JSON.stringify({ result: { events: [{ kv: formatEntry(change.key, change.stored) }] } })}\n`));
        watches.add(watch);
        response.on("close", () => watches.delete(watch));
    };
    const handleRequest = (path: string, body: RequestBody, response: http.ServerResponse) => {
        if (path === "/v3/watch") {
            openWatch(body, response);
            return;
        }
        const handlers: Readonly<Record<string, () => unknown>> = {
            "/v3/kv/range": () => ({ header: createHeader(), kvs: listRange(decode(body.key!), decode(body.range_end ?? "")) }),
            "/v3/kv/txn": () => compareAndSwap(body),
            "/v3/lease/grant": () => grantLease(body.TTL!),
            "/v3/lease/keepalive": () => ({ result: { ID: body.ID, TTL: leases.has(body.ID!) ? String(leases.get(body.ID!)) : "0" } }),
            "/v3/lease/revoke": () => {
                leases.delete(body.ID!);
                return {};
            },
        };
        const text = JSON.stringify(handlers[path]?.() ?? {});
        if (path === "/v3/kv/txn" && behaviour.lostReplies > 0 && decode(body.compare![0]!.key).includes(behaviour.lostKey)) {
            behaviour.lostReplies -= 1;
            response.destroy();
            return;
        }
        response.end(text);
    };
    const server = http.createServer((request, response) => {
        const path = request.url ?? "";
        calls[path] = (calls[path] ?? 0) + 1;
        if (behaviour.isAway) {
            response.destroy();
            return;
        }
        let text = "";
        request.on("data", chunk => {
            text += String(chunk);
        });
        request.on("end", () => setTimeout(() => handleRequest(path, JSON.parse(text) as RequestBody, response), behaviour.delayMs));
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ calls, revision, keys: [...entries.keys()].sort(), values: Object.fromEntries([...entries].map(([key, stored]) => [key, Buffer.from(stored.value, "base64").toString("utf8")])) }),
        setBehaviour: ({ action, ...change }) => {
            Object.assign(behaviour, change);
            if (behaviour.isAway) {
                watches.forEach(watch => watch.response.destroy());
            }
            if (action === "backup") {
                backup = new Map(entries);
            }
            if (action === "restore") {
                entries = new Map(backup);
                revision += 1;
            }
            if (action === "expireLeases") {
                leases.clear();
                [...entries].filter(([, stored]) => stored.lease !== undefined).forEach(([key]) => entries.delete(key));
            }
        },
    });
    return { port, controlPort };
}

/** A stand-in for the platform's store: the subset of the etcd v3 JSON gateway that the adapter uses. */

import * as http from "node:http";
import * as control from "./control.js";

interface Pair {
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

/** Starts a store; returns its ports. */
export async function startEtcdStore() {
    let pairs = new Map<string, Pair>();
    let backup = new Map<string, Pair>();
    let revision = 1;
    let leaseId = 0;
    const leases = new Map<string, number>();
    const watches = new Set<Watch>();
    const history: { readonly key: string; readonly pair: Pair; }[] = [];
    /** `lostReplies` swaps of keys that contain `lostKey` take effect and their replies are lost. */
    const behaviour = { isAway: false, delayMs: 0, lostReplies: 0, lostKey: "" };
    const calls: Record<string, number> = {};

    const header = () => ({ revision: String(revision) });
    const encode = (text: string) => Buffer.from(text, "latin1").toString("base64");
    const decode = (text: string) => Buffer.from(text, "base64").toString("latin1");
    const format = (key: string, pair: Pair) => ({ key: encode(key), value: pair.value, mod_revision: String(pair.revision) });
    const isIn = (key: string, from: string, to: string) => to === "" ? key === from : key >= from && key < to;
    const range = (from: string, to: string) => [...pairs].filter(([key]) => isIn(key, from, to)).map(([key, pair]) => format(key, pair));
    const notify = (key: string, pair: Pair) => {
        for (const watch of watches) {
            if (isIn(key, watch.from, watch.to)) {
                watch.response.write(`${JSON.stringify({ result: { header: header(), events: [{ kv: format(key, pair) }] } })}\n`);
            }
        }
    };
    const put = (key: string, value: string, lease: string | undefined) => {
        revision += 1;
        const pair = { value, revision, lease };
        pairs.set(key, pair);
        history.push({ key, pair });
        notify(key, pair);
    };
    const swap = (body: RequestBody) => {
        const compare = body.compare![0]!;
        const key = decode(compare.key);
        if (String(pairs.get(key)?.revision ?? 0) !== compare.mod_revision) {
            return { header: header(), responses: [{ response_range: { kvs: range(key, "") } }] };
        }
        const written = body.success![0]!.request_put;
        put(decode(written.key), written.value, written.lease);
        return { header: header(), succeeded: true, responses: [{ response_put: {} }] };
    };
    const grant = (ttl: string) => {
        leaseId += 1;
        leases.set(String(leaseId), Number(ttl));
        return { ID: String(leaseId), TTL: ttl };
    };
    const openWatch = (body: RequestBody, response: http.ServerResponse) => {
        const { key, range_end: end, start_revision: start } = body.create_request!;
        const watch = { from: decode(key), to: decode(end), response };
        response.write(`${JSON.stringify({ result: { header: header(), created: true } })}\n`);
        history.filter(change => change.pair.revision >= Number(start ?? 0) && isIn(change.key, watch.from, watch.to))
            .forEach(change => response.write(`${JSON.stringify({ result: { events: [{ kv: format(change.key, change.pair) }] } })}\n`));
        watches.add(watch);
        response.on("close", () => watches.delete(watch));
    };
    const answer = (path: string, body: RequestBody, response: http.ServerResponse) => {
        if (path === "/v3/watch") {
            openWatch(body, response);
            return;
        }
        const answers: Readonly<Record<string, () => unknown>> = {
            "/v3/kv/range": () => ({ header: header(), kvs: range(decode(body.key!), decode(body.range_end ?? "")) }),
            "/v3/kv/txn": () => swap(body),
            "/v3/lease/grant": () => grant(body.TTL!),
            "/v3/lease/keepalive": () => ({ result: { ID: body.ID, TTL: leases.has(body.ID!) ? String(leases.get(body.ID!)) : "0" } }),
            "/v3/lease/revoke": () => {
                leases.delete(body.ID!);
                return {};
            },
        };
        const text = JSON.stringify(answers[path]?.() ?? {});
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
        request.on("end", () => setTimeout(() => answer(path, JSON.parse(text) as RequestBody, response), behaviour.delayMs));
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ calls, revision, keys: [...pairs.keys()].sort(), values: Object.fromEntries([...pairs].map(([key, pair]) => [key, Buffer.from(pair.value, "base64").toString("utf8")])) }),
        setBehaviour: ({ action, ...change }) => {
            Object.assign(behaviour, change);
            if (behaviour.isAway) {
                watches.forEach(watch => watch.response.destroy());
            }
            if (action === "backup") {
                backup = new Map(pairs);
            }
            if (action === "restore") {
                pairs = new Map(backup);
                revision += 1;
            }
            if (action === "expireLeases") {
                leases.clear();
                [...pairs].filter(([, pair]) => pair.lease !== undefined).forEach(([key]) => pairs.delete(key));
            }
        },
    });
    return { port, controlPort };
}

/** The stand-ins' program: `store`, `upstreams COUNT` or `faultProxy TARGET`; prints its ports as one JSON line. */

import * as faultProxy from "./faultProxy.js";
import * as store from "./store.js";
import * as upstream from "./upstream.js";

const [kind, argument] = process.argv.slice(2);
const starters: Readonly<Record<string, () => Promise<unknown>>> = {
    store: () => store.startStore(),
    upstreams: () => Promise.all(Array.from({ length: Number(argument) }, () => upstream.startUpstream())),
    faultProxy: () => faultProxy.startFaultProxy(String(argument)),
};
process.stdout.write(`${JSON.stringify(await starters[kind ?? ""]?.())}\n`);

/**
 * Runs the stand-ins that the arguments name: `store`, `upstreams COUNT`, `faultProxy TARGET`, `directoryStore` or `workers COUNT`.
 * Prints their ports as one line of JSON.
 */

import * as kvStore from "./kvStore.js";
import * as faultProxy from "./faultProxy.js";
import * as etcdStore from "./etcdStore.js";
import * as upstream from "./upstream.js";
import * as worker from "./worker.js";

const [kind, argument] = process.argv.slice(2);
const starters: Readonly<Record<string, () => Promise<unknown>>> = {
    store: () => etcdStore.startEtcdStore(),
    upstreams: () => Promise.all(Array.from({ length: Number(argument) }, () => upstream.startUpstream())),
    directoryStore: () => kvStore.startKvStore(),
    workers: () => Promise.all(Array.from({ length: Number(argument) }, (_, index) => worker.startWorker(`w${index}`))),
    faultProxy: () => faultProxy.startFaultProxy(String(argument)),
};
process.stdout.write(`${JSON.stringify(await starters[kind ?? ""]?.())}\n`);

/** The distribution of requests over the services of a split route. */

import fc from "fast-check";
import tap from "tap";
import * as configuration from "../../src/configuration/index.js";
import * as compiledConfiguration from "../../src/configuration/compiledConfiguration.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as configurations from "../harness/configurations.js";

function createSplitRoute(weights: readonly number[]): configuration.CompiledRoute {
    const base = configurations.createTestConfiguration({ upstreams: {}, floor: 0 });
    const route = { ...base.routes[0]!, service: undefined };
    const services = Object.fromEntries(weights.map((weight, index) => [`s${index}`, { ...base.services.docs, minimumStallMs: 250 + weight }]));
    const document = configuration.checkDocument({ ...base, services, routes: [{ ...route, split: weights.map((weight, index) => ({ service: `s${index}`, weight })) }] })._unsafeUnwrap();
    return configuration.findRoute(compiledConfiguration.createCompiledConfiguration({ version: 1, changeId: "c", chunks: {}, recent: [] }, document), { method: "GET", path: "/read/1" })!;
}

void tap.test("each service gets requests in proportion to its weight", async t => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 }).filter(weights => weights.some(weight => weight > 0)), fc.integer(), fc.integer({ min: 1, max: 400 }), (weights, seed, requests) => {
            const route = createSplitRoute(weights);
            const splitter = new configuration.RouteSplitter(randomness.createSeededRandomness(seed));
            const counts = weights.map(() => 0);
            for (let index = 0; index < requests; index += 1) {
                counts[Number(splitter.chooseRoute(route).service.slice(1))]! += 1;
            }
            const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
            return weights.every((weight, index) => Math.abs(counts[index]! - (requests * weight) / totalWeight) <= weights.length);
        }),
        { seed: 7, numRuns: 300 },
    );
    t.pass("each count deviates from its share by at most the number of services");
});

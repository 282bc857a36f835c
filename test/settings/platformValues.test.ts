/**
 * Guards against a deployment on which no instance starts: the numbers that a platform fills into the settings are often
 * computed from the size of its fleet, so that they have fractions, are zero, or are absent.
 */

import * as fs from "node:fs";
import * as fc from "fast-check";
import tap from "tap";
import * as settingsFile from "../../src/cli/settingsFile.js";
import * as settings from "../../src/settings/index.js";
import * as platform from "../harness/platform.js";

const template = fs.readFileSync("deploy/settings.template", "utf8");

/** Fills in the template as the platform does: a value that is absent leaves nothing. */
function createSettingsText(values: Readonly<Record<string, string | number | undefined>>): string {
    return template.replaceAll(/\{\{([^}]+)\}\}/g, (_, name: string) => String(values[name] ?? ""));
}

const address = fc.tuple(fc.ipV4(), fc.integer({ min: 1, max: 65_535 })).map(([host, port]) => `${host}:${port}`);
const optional = <T>(value: fc.Arbitrary<T>) => fc.option(value, { nil: undefined });
/** Numbers as a platform writes them, with as many decimals as a double has. */
const decimal = (maximum: number) => fc.oneof(fc.constant(0), fc.integer({ min: 0, max: Math.floor(maximum) }), fc.double({ min: 0, max: maximum, noNaN: true }));
const platformValues = fc.record({
    nodeName: fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9_-]{0,40}$/),
    failureDomain: fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}$/),
    ip: fc.ipV4(),
    "listenAddrs.front": address,
    "listenAddrs.directory": optional(address),
    "listenAddrs.ready": optional(address),
    "listenAddrs.control": address,
    seedNodes: optional(fc.array(address, { maxLength: 3 }).map(addresses => addresses.join(","))),
    "platform.address": address,
    "bounds.retryRatio": optional(decimal(10)),
    "bounds.retryWindowS": optional(decimal(3_600)),
    "bounds.retrySlack": optional(decimal(1e7)),
    "bounds.graceS": optional(decimal(3_600)),
    "limits.memoryMb": optional(decimal(1_048_576)),
    "limits.cpuShare": optional(decimal(1_000)),
    "limits.cpuCores": optional(decimal(1_000)),
    "limits.linkMbps": optional(decimal(1_000_000)),
});

void tap.test("every value that the platform may fill in is accepted", async t => {
    const names = new Set([...template.matchAll(/\{\{([^}]+)\}\}/g)].map(([, name]) => name));
    fc.assert(
        fc.property(platformValues, values => {
            const unknownNames = [...names].filter(name => !(name! in values));
            const result = settingsFile.parseSettings(createSettingsText(values)).andThen(settings.checkServeSettings);
            return unknownNames.length === 0 && result.match(() => true, error => {
                throw new Error(error.message);
            });
        }),
        { numRuns: 2_000, seed: 20_261_205 },
    );
    t.pass("2,000 fillings of the template");
});

void tap.test("what is truly unusable is refused and named", async t => {
    const doTest = (flag: string, value: string) => t.match(settingsFile.parseSettings(`${flag}=${value}`).andThen(settings.checkServeSettings)._unsafeUnwrapErr().message, new RegExp(`--${flag}`), `${flag}=${value}`);
    doTest("retry-slack", "many");
    doTest("retry-slack", "-1");
    doTest("retry-ratio", "NaN");
    doTest("kill-after-s", "1e400");
    doTest("peer-listen", "10.0.0.1:99999");
});

void tap.test("an instance starts with fractions and zeros", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const fillings = [
        { "retry-slack": 51.19047619047619, "retry-ratio": 1.5, "retry-window-s": 9.75, "kill-after-s": 6.5 },
        { "retry-slack": 0, "retry-ratio": 0, "retry-window-s": 0, "kill-after-s": 0 },
    ];
    for (const filling of fillings) {
        const instance = await testPlatform.startInstance("north", filling);
        await platform.waitUntilReady(instance);
        t.equal((await instance.send("/look/1")).status, 200, JSON.stringify(filling));
    }
});

/** Runs the README's examples unchanged. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";
import * as ports from "./harness/ports.js";

/** Guards against a test that runs at the same time and is given one of these ports. */
void tap.test("the README's examples use no port that tests are given", async t => {
    const used = [...fs.readFileSync("README.md", "utf8").matchAll(/127\.0\.0\.1:(\d{5})/g)].map(found => Number(found[1]));
    t.ok(used.length > 0);
    t.strictSame(used.filter(port => port >= ports.firstPort), []);
});

void tap.test("the README's examples", async t => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-readme-"));
    t.teardown(() => fs.rmSync(directory, { recursive: true }));
    fs.symlinkSync(path.resolve("dist/agatebend.cjs"), path.join(directory, "agatebend"));
    const blocks = [...fs.readFileSync("README.md", "utf8").matchAll(/^```sh\n([\s\S]*?)^```/gm)].map(found => found[1]!);
    const script = ["set -eu", "trap 'kill $(jobs -p)' EXIT", ...blocks].join("\n");
    const run = childProcess.spawnSync("bash", ["-c", script], { cwd: directory, encoding: "utf8", timeout: 60_000, env: { ...process.env, PATH: `${directory}:${process.env.PATH}` } });
    t.equal(run.status, 0, run.stderr.slice(-500));
    const doTest = (name: string, expected: RegExp) => t.match(run.stdout, expected, name);
    doTest("check", /shop\.json is valid/);
    doTest("apply", /version 1 .* accepted; in force at 3 of 3 instances/);
    doTest("entries", /"entries":\[\{"address":"127\.0\.0\.1:18102","instanceId":"i2"/);
    doTest("a read", /HTTP\/1\.1 200 OK[\s\S]*x-agatebend-outcome: executed[\s\S]*GET \/lists\/7/);
    doTest("an order and its repeat", /POST \/orders\n[\s\S]*POST \/orders\n/);
    doTest("a retired feature", /HTTP\/1\.1 410 Gone[\s\S]*featureRetired/);
    doTest("callers of the retired feature", /lists\s+st-anne\s+127\.0\.0\.1 curl\S*\s+1/);
    doTest("status by curl", /"instanceId":"i1","version":"2"/);
    doTest("ready", /ready\n$/);
});

// Checks format, lint and types, builds, runs the tests, and prints the number of passed and failed assertions.
// Exactly the tests that KNOWN-RED.txt names may fail; each is printed. An entry whose test passes, or that names no test, is
// a failure, so that entries leave the list. With --tests DIRECTORY only the tests there are run, with --known-failures FILE
// in place of KNOWN-RED.txt.
import { spawnSync } from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import { parseArgs } from "node:util";
import { compareFailures, parseKnownFailures, parseTestPoints } from "./knownFailures.mjs";

const { values: options } = parseArgs({ options: { tests: { type: "string" }, "known-failures": { type: "string", default: "KNOWN-RED.txt" } } });
const steps = [
    ["node", ["scripts/install.mjs"]],
    ["npm", ["run", "--silent", "check:format"]],
    ["npm", ["run", "--silent", "check:lint"]],
    ["npm", ["run", "--silent", "check:types"]],
    ["npm", ["run", "--silent", "build:test"]],
    ["npm", ["run", "--silent", "check:generated"]],
];

/** Runs the checks that come before the tests; returns the number of failed ones. */
function runSteps() {
    let failed = 0;
    for (const [command, args] of steps) {
        const { status } = spawnSync(command, args, { stdio: "inherit" });
        process.stdout.write(`${status === 0 ? "ok" : "FAILED"}: ${command} ${args.join(" ")}\n`);
        failed += status === 0 ? 0 : 1;
    }
    return failed;
}

/** Runs the tests of a directory; returns the numbers of passed and failed assertions. */
function runTests(directory, knownFailures) {
    const files = fs.readdirSync(directory, { recursive: true }).map(name => path.join(directory, name)).filter(name => name.endsWith(".test.ts")).sort();
    const run = spawnSync("npx", ["tap", "run", "--disable-coverage", "--allow-empty-coverage", "--reporter=tap", "--jobs=3", "--timeout=180", ...files], {
        encoding: "utf8",
        maxBuffer: 2 ** 28,
        stdio: ["ignore", "pipe", "inherit"],
    });
    fs.mkdirSync("dist", { recursive: true });
    fs.writeFileSync(options.tests === undefined ? "dist/test-output.tap" : path.join(directory, "output.tap"), run.stdout);
    const { tolerated, unexpected, obsolete, unknown } = compareFailures(parseTestPoints(run.stdout), knownFailures);
    const print = (reason, lines) => lines.forEach(line => process.stdout.write(`${reason}: ${line}\n`));
    const formatPoint = ({ file, titles }) => [file, ...titles].join(" | ");
    print("failed as KNOWN-RED.txt says", tolerated.map(formatPoint));
    print("failed", unexpected.map(formatPoint));
    print("passed, remove it from KNOWN-RED.txt", obsolete.map(({ line }) => line));
    print("names no test", unknown.map(({ line }) => line));
    if (unexpected.length > 0) {
        const lines = run.stdout.split("\n");
        const shown = lines.flatMap((line, index) => /^\s*not ok /.test(line) ? lines.slice(index, index + 25) : []);
        process.stdout.write(`${shown.slice(0, 400).join("\n")}\n`);
    }
    const total = /^# \{ total: \d+, pass: (\d+)/m.exec(run.stdout);
    const hasUnexplainedFailure = total === null || (run.status !== 0 && tolerated.length + unexpected.length === 0);
    return { passed: Number(total?.[1] ?? 0), failed: unexpected.length + obsolete.length + unknown.length + (hasUnexplainedFailure ? 1 : 0) };
}

const knownFailuresPath = options["known-failures"];
const knownFailures = fs.existsSync(knownFailuresPath) ? parseKnownFailures(fs.readFileSync(knownFailuresPath, "utf8")) : [];
const failedSteps = options.tests === undefined ? runSteps() : 0;
const tests = runTests(options.tests ?? "test", knownFailures);
const failed = failedSteps + tests.failed;
process.stdout.write(`${tests.passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;

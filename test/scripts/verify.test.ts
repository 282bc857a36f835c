/**
 * Guards against a CI that passes over more than the failures that are listed, or that keeps entries of tests that pass. One
 * listed test used to keep its whole file from running.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import tap from "tap";

const testFile = "tests/sample.test.ts";
const source = `import tap from "tap";
void tap.test("whole", t => { t.pass("fine"); t.end(); });
void tap.test("broken", t => { t.pass("fine"); t.fail("known"); t.end(); });
void tap.test("other", t => { t.ok(process.env.VERIFY_TEST_BREAKS !== "other", "sound"); t.end(); });
`;

/**
 * Runs the script on the sample with entries of known failures, which name the file by FILE. The sample is a project of its own,
 * because tap removes the records of processes below its project when it starts, and fails if another run adds one meanwhile.
 */
function runVerify(t: Pick<typeof tap, "teardown">, entries: readonly string[], breaks = "") {
    fs.mkdirSync("dist", { recursive: true });
    const directory = fs.mkdtempSync(path.join("dist", "verify-"));
    t.teardown(() => fs.rmSync(directory, { recursive: true }));
    fs.writeFileSync(path.join(directory, "package.json"), JSON.stringify({ type: "module" }));
    fs.symlinkSync(path.resolve("node_modules"), path.join(directory, "node_modules"));
    fs.mkdirSync(path.join(directory, "tests"));
    fs.writeFileSync(path.join(directory, testFile), source);
    fs.writeFileSync(path.join(directory, "known.txt"), entries.map(entry => `test: ${entry.replace("FILE", testFile)}\nseen: it fails\n`).join("\n"));
    const environment = Object.fromEntries(Object.entries(process.env).filter(([name]) => !name.startsWith("TAP") && name !== "NODE_OPTIONS"));
    const run = childProcess.spawnSync(process.execPath, [path.resolve("scripts/verify.mjs"), "--tests", "tests", "--known-failures", "known.txt"], { cwd: directory, encoding: "utf8", env: { ...environment, VERIFY_TEST_BREAKS: breaks } });
    return { status: run.status, output: run.stdout.replaceAll(testFile, "FILE"), errorOutput: run.stderr };
}

/** Adds a file to the records of processes of the run that this test belongs to; returns its path. */
function createRecord(t: Pick<typeof tap, "teardown">): string {
    const file = path.join(".tap", "processinfo", `verify-test-${process.pid}`);
    fs.mkdirSync(path.dirname(file), { recursive: true });
    fs.writeFileSync(file, "");
    t.teardown(() => fs.rmSync(file, { force: true }));
    return file;
}

void tap.test("the tests of a run with a listed failure", async t => {
    const marker = createRecord(t);
    const doTest = (name: string, entries: readonly string[], expected: { readonly status: number; readonly lines: readonly string[]; }, breaks?: string) =>
        t.test(name, async t => {
            const { status, output, errorOutput } = runVerify(t, entries, breaks);
            t.equal(status, expected.status);
            const lines = output.split("\n");
            t.strictSame(expected.lines.filter(line => !lines.includes(line)), [], `${output}${errorOutput}`);
        });
    await doTest("the listed test alone may fail", ["FILE | broken"], { status: 0, lines: ["failed as KNOWN-RED.txt says: FILE | broken | known", "3 passed, 0 failed"] });
    await doTest("another test of the same file may not", ["FILE | broken"], { status: 1, lines: ["failed as KNOWN-RED.txt says: FILE | broken | known", "failed: FILE | other | sound", "2 passed, 1 failed"] }, "other");
    await doTest("a listed test that passes is a failure", ["FILE | broken", "FILE | whole"], { status: 1, lines: ["passed, remove it from KNOWN-RED.txt: test: FILE | whole", "3 passed, 1 failed"] });
    await doTest("an entry that names no test is a failure", ["FILE | broken", "FILE | gone", "FILE"], { status: 1, lines: ["names no test: test: FILE | gone", "names no test: test: FILE", "3 passed, 2 failed"] });
    await doTest("without an entry every failure counts", [], { status: 1, lines: ["failed: FILE | broken | known", "3 passed, 1 failed"] });
    // Guards against two runs that share a project: if a process ended while the inner run removed the records, it failed without any test.
    t.ok(fs.existsSync(marker), "the records of the run around these are left alone");
});

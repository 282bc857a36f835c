/** The check command as a process. Guards against a wrong exit status, output that a program cannot read, and an instance that cannot be compared with. */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";

const program = process.env.TEST_PROGRAM ?? "dist/agatebend.cjs";
const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-"));

interface CheckOutput {
    readonly valid: boolean;
    readonly routes?: number;
    readonly findings: readonly { readonly severity: string; readonly code: string; readonly path: string; readonly message: string; }[];
}

function writeDocument(name: string, content: unknown): string {
    const file = path.join(directory, name);
    fs.writeFileSync(file, typeof content === "string" ? content : JSON.stringify(content));
    return file;
}

async function runCheck(...args: readonly string[]) {
    const command = new processes.TestProcess(process.execPath, [program, "check", ...args]);
    await command.waitForExit();
    return { status: command.exitCode, stdout: command.stdoutLines.join("\n"), stderr: command.stderrChunks.join("") };
}

void tap.test("the check command", async t => {
    const document = configurations.createTestConfiguration({ upstreams: { "a-1": "127.0.0.1:1", "a-2": "127.0.0.1:2", "a-3": "127.0.0.1:3" } });
    const valid = writeDocument("valid.json", document);
    const unused = writeDocument("unused.json", { ...document, ranks: [...document.ranks, { name: "none", guaranteedShare: 0 }] });
    const invalid = writeDocument("invalid.json", { ...document, workspaces: { w: { keyDigests: ["sk-secret"] } } });
    const broken = writeDocument("broken.json", "{\"workspaces\": sk-secret}");
    const doTest = async (name: string, args: readonly string[], status: number, codes: readonly string[]) => {
        const text = await runCheck(...args);
        t.equal(text.status, status, `${name}: exit status`);
        codes.forEach(code => t.match(text.stdout + text.stderr, new RegExp(`^(error|warning|change) ${code}: `, "m"), name));
        const json = await runCheck(...args, "--output", "json");
        t.equal(json.status, status, `${name}: exit status with JSON`);
        const { valid: isValid, findings } = JSON.parse(json.stdout) as CheckOutput;
        t.equal(isValid, status !== 2, name);
        t.strictSame(findings.map(({ code }) => code), codes, `${name}: codes`);
        t.notMatch(text.stdout + text.stderr + json.stdout + json.stderr, /sk-secret/, `${name}: no key`);
    };
    await doTest("valid", [valid], 0, []);
    await doTest("valid and strict", [valid, "--strict"], 0, []);
    await doTest("a warning", [unused], 0, ["rank-unused"]);
    await doTest("a warning and strict", [unused, "--strict"], 1, ["rank-unused"]);
    await doTest("an error", [invalid], 2, ["field-invalid"]);
    await doTest("no JSON", [broken, "--strict"], 2, ["document-unreadable"]);
    await doTest("no file", [path.join(directory, "none.json")], 2, ["document-unreadable"]);
    await doTest("against a file", [unused, "--against", valid], 0, ["rank-unused", "rank-added"]);
    await doTest("against itself", [valid, "--against", valid, "--strict"], 0, []);
    t.equal((await runCheck(valid, "--against", invalid)).status, 2, "against an invalid file");
    t.not((await runCheck(valid, "--against", "127.0.0.1:1")).status, 0, "against an instance that cannot be reached");

    await t.test("against an instance", async () => {
        const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: "memory:", seeds: [] });
        t.teardown(() => instance.process.stop());
        await fleet.applyConfiguration(instance, document);
        await doTest("the version in force", [valid, "--against", instance.ports.operator, "--strict"], 0, []);
        await doTest("another version", [unused, "--against", instance.ports.operator], 0, ["rank-unused", "rank-added"]);
    });
});

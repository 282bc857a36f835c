/** Guards against an instance that does not start because its code cache is missing, damaged or of another version of Node.js. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";

const flags = [.../^run = "node ((?:--\S+ )*)/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))![1]!.matchAll(/\S+/g)].map(([flag]) => flag);

void tap.test("the launcher", async t => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-launch-"));
    t.teardown(() => fs.rmSync(directory, { recursive: true }));
    fs.cpSync("dist/platform", directory, { recursive: true });
    const cachePath = path.join(directory, "program.cache");
    const cache = fs.readFileSync(cachePath);
    /** Starts the program with settings that do not exist, which shows that it runs. */
    const doTest = (name: string, nodeFlags: readonly string[], isRejected: boolean) => {
        const { status, stderr } = childProcess.spawnSync(process.execPath, [...nodeFlags, path.join(directory, "agatebend.cjs"), "serve"], { encoding: "utf8", env: { ...process.env, AGATEBEND_CONFIG: "/nowhere/at/all" } });
        t.equal(status, 2, name);
        t.match(stderr, /ENOENT/, `${name}: the program ran`);
        t.equal(stderr.includes("the code cache is for another version"), isRejected, `${name}: the cache`);
    };
    doTest("the deployment's flags", flags, false);
    doTest("other flags", ["--max-old-space-size=123"], true);
    fs.writeFileSync(cachePath, cache.subarray(0, cache.length / 2));
    doTest("a truncated cache", flags, true);
    fs.writeFileSync(cachePath, "");
    doTest("an empty cache", flags, true);
    fs.rmSync(cachePath);
    doTest("no cache", flags, false);

    // Guards against a signal that ends the process by default while the program is read and compiled.
    fs.writeFileSync(path.join(directory, "program.cjs"), `console.log(["SIGTERM", "SIGINT", "SIGHUP"].map(name => process.listenerCount(name)).join(" "));`);
    // Without the variable by which tap adds its own listeners.
    const listListeners = (command: string) => childProcess.spawnSync("env", ["-u", "NODE_OPTIONS", process.execPath, path.join(directory, "agatebend.cjs"), command], { encoding: "utf8" }).stdout.trim();
    t.equal(listListeners("serve"), "1 1 1", "the launcher catches signals before the program is loaded");
    t.equal(listListeners("watch"), "0 0 0", "signals end other commands");
});

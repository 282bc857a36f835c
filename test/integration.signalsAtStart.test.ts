/**
 * Guards against signals that end a process which is starting: SIGHUP ended it by default for the first 0.4 s, and SIGTERM
 * without a clean stop, also when callers were already served.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const launcher = process.env.TEST_PLATFORM_LAUNCHER ?? "dist/platform/agatebend.cjs";
const nodeFlags = [.../^run = "node ((?:--\S+ )*)/m.exec(fs.readFileSync("deploy/system.toml", "utf8"))![1]!.matchAll(/\S+/g)].map(([flag]) => flag);
/** Times from the start of the process, in milliseconds. */
const moments = [0, 50, 100, 200, 400] as const;
/** How long the launcher's first lines may take after Node.js has started, in milliseconds. */
const firstLinesMs = 40;
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

/** Starts the program as the platform does, without the variable by which tap loads its own modules and signal handlers first. */
function startProgram(settingsFile: string): processes.TestProcess {
    return new processes.TestProcess("env", ["-u", "NODE_OPTIONS", process.execPath, "--require", path.resolve("test/fixtures/announceLoad.cjs"), ...nodeFlags, launcher, "serve"], { AGATEBEND_CONFIG: settingsFile });
}

/** Waits until a moment, and for all but the first one also until Node.js has started, before which no program can catch a signal. */
async function waitForMoment(started: processes.TestProcess, moment: number): Promise<void> {
    const waitForLoad = async () => {
        await processes.waitFor("Node.js has started", () => started.stdoutLines.includes("node-loaded"));
        await wait(firstLinesMs);
    };
    await Promise.all([wait(moment), moment === 0 ? undefined : waitForLoad()]);
}

void tap.test("signals while a process starts", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": 6 });
    await instance.process.stop();
    const start = () => {
        const started = startProgram(instance.addresses.settingsFile);
        t.teardown(() => started.stop());
        return started;
    };

    for (const moment of moments) {
        await t.test(`SIGTERM after ${moment} ms`, async t => {
            const started = start();
            await waitForMoment(started, moment);
            started.sendSignal("SIGTERM");
            const exit = await started.waitForExit();
            if (moment === 0 && !started.stdoutLines.includes("node-loaded")) {
                t.equal(exit, "SIGTERM", "Node.js had not started");
                return;
            }
            t.equal(exit, 0, started.stderrChunks.join(""));
            t.equal(started.listLogs("callers-port-open").length, started.listLogs("callers-drained").length, "callers that may have been served are drained");
        });
        await t.test(`SIGHUP after ${moment} ms`, async t => {
            const started = start();
            await waitForMoment(started, moment);
            started.sendSignal("SIGHUP");
            await processes.waitFor("the instance has started", () => started.exitCode !== undefined || started.listLogs("instance-started").length > 0);
            if (moment === 0 && !started.stdoutLines.includes("node-loaded")) {
                t.equal(await started.waitForExit(), "SIGHUP", "Node.js had not started");
                return;
            }
            t.equal(started.exitCode, undefined, "the process goes on");
            await processes.waitFor("the settings were read again", () => started.exitCode !== undefined || started.listLogs("settings-read").length > 0);
            t.match(started.listLogs("settings-read").map(({ context }) => context.cause), ["signal"]);
            await started.stop();
        });
    }

    await t.test("SIGTERM right after the callers' port opened", async t => {
        const started = start();
        await processes.waitFor("the callers' port is open", () => started.listLogs("callers-port-open").length > 0);
        const sent = instance.send("/look/1", { requestId: "early" }).then(({ status, isComplete }) => `${status}${isComplete ? "" : " cut"}`, (error: Error) => error.message);
        started.sendSignal("SIGTERM");
        t.equal(await started.waitForExit(), 0);
        t.equal(started.listLogs("callers-drained").length, 1);
        // A connection that was not accepted may be refused, but one that was read is answered.
        t.match(await sent, /^(200|503|.*ECONNREFUSED.*)$/u);
    });
});

/** Authentication by the shared secret and TLS on the peers' and operators' ports. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";
import * as fleet from "./harness/fleet.js";
import * as ports from "./harness/ports.js";
import * as processes from "./harness/processes.js";

const tlsFlags = { "tls-certificate-file": "test/fixtures/instance.pem", "tls-key-file": "test/fixtures/instance.key", "tls-authority-file": "test/fixtures/authority.pem" };

function runClient(args: readonly string[]) {
    const run = childProcess.spawnSync(process.execPath, ["dist/agatebend.cjs", ...args], { encoding: "utf8", timeout: 20_000 });
    return { status: run.status, text: run.stdout + run.stderr };
}

void tap.test("shared secret and TLS", async t => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-secret-"));
    const [secretFile, wrongFile] = ["secret", "wrong"].map(name => {
        const file = path.join(directory, name);
        fs.writeFileSync(file, `${name}\n`);
        return file;
    }) as [string, string];
    const [peer, operator] = [`127.0.0.1:${await ports.findFreePort()}`, `127.0.0.1:${await ports.findFreePort()}`];
    const startInstance = (id: string, flags: Readonly<Record<string, string>>) => fleet.startInstance({ id, failureDomain: "north", storeUrl: "memory:", seeds: id === "i1" ? [] : [peer], flags, skipReadyWait: true });
    const secured = { ...tlsFlags, "shared-secret-file": secretFile };
    const first = await startInstance("i1", { ...secured, "peer-listen": peer, "operator-listen": operator });
    const second = await startInstance("i2", secured);
    const unauthorized = await startInstance("i3", { ...tlsFlags, "shared-secret-file": wrongFile });
    const unencrypted = await startInstance("i4", { "shared-secret-file": secretFile });
    const instances = [first, second, unauthorized, unencrypted];
    t.teardown(async () => {
        await Promise.all(instances.map(instance => instance.process.stop()));
        fs.rmSync(directory, { recursive: true });
    });
    await processes.waitFor("two instances are linked", () => first.listLogs("peer-linked").length > 0);
    await processes.waitFor("the instance with a wrong secret is rejected", () => first.listLogs("peer-rejected").some(line => line.message.includes("does not know the shared secret")));
    const clientFlags = ["--operator", operator, "--tls-authority-file", "test/fixtures/authority.pem"];
    const status = runClient(["status", "--json", ...clientFlags, "--secret-file", secretFile]);
    t.equal(status.status, 0, status.text);
    t.match(status.text, /"i2"/);
    t.notMatch(status.text, /"i3"|"i4"/, "instances with a wrong secret or without TLS do not join");
    t.match(runClient(["status", ...clientFlags, "--secret-file", wrongFile]), { status: 1, text: /secret|401|nauthenticated/ });
    t.equal(runClient(["status", "--operator", operator, "--secret-file", secretFile]).status, 1, "plain HTTP is rejected");
    t.match(runClient(["drain", "--instance", "i2", ...clientFlags, "--secret-file", secretFile]), { status: 0, text: /i2 drains/ }, "the call is forwarded to another instance");
});

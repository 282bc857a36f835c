/** Guards against an upstream that is sent more bytes of bodies at once than it can hold, and against bodies that no upstream ever gets. */

import tap from "tap";
import * as bodyRoom from "../../src/admission/bodyRoom.js";
import * as upstream from "../../src/pool/upstream.js";

function createUpstream(id: string, ...bodyBytes: readonly number[]): upstream.Upstream {
    const created = new upstream.Upstream({ service: "vault", definition: { id, address: "127.0.0.1:1", failureDomain: "north", state: "live" }, slots: 6 });
    bodyBytes.forEach(requestBytes => created.attempts.add({ route: "upload", rankIndex: 0, startedAt: 0, requestBytes }));
    return created;
}

void tap.test("the upstreams with room for a body", async t => {
    const upstreams = [createUpstream("idle"), createUpstream("reads", 0, 0), createUpstream("light", 300), createUpstream("full", 300, 600)];
    const doTest = (bodyBytes: number, limitBytes: number | undefined, expected: readonly string[]) =>
        t.strictSame(bodyRoom.listUpstreamsWithRoom(upstreams, { bodyBytes, limitBytes }).map(candidate => candidate.getId()), expected, `${bodyBytes} of ${limitBytes}`);
    doTest(500, undefined, ["idle", "reads", "light", "full"]);
    doTest(0, 1_000, ["idle", "reads", "light", "full"]);
    doTest(100, 1_000, ["idle", "reads", "light", "full"]);
    doTest(700, 1_000, ["idle", "reads", "light"]);
    doTest(701, 1_000, ["idle", "reads"]);
    doTest(5_000, 1_000, ["idle", "reads"]);
});

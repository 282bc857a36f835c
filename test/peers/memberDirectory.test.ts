/** Guards against an outdated list of members: changes show at once, silence within the list's lifetime. */

import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as memberDirectory from "../../src/peers/memberDirectory.js";
import * as registers from "../../src/peers/registers.js";

const suspectAfterMs = 1_000;

void tap.test("the list of members", async t => {
    const time = clock.createVirtualClock();
    const registerTable = new registers.RegisterTable({ selfId: "self", incarnation: 1, deadAfterMs: 10_000, maximumHeartbeatLag: Infinity });
    const directory = new memberDirectory.MemberDirectory({ clock: time, registerTable, suspectAfterMs });
    const description = { failureDomain: "north", callerAddress: "", peerAddress: "", operatorAddress: "", state: "running", configurationVersion: 1 };
    const setDescription = (origin: string, sequence: number, change: object) => {
        registerTable.mergeRegister({ topic: memberDirectory.memberTopic, origin, incarnation: 1, sequence, body: { ...description, ...change } }, time.getNow());
        directory.recordChange();
    };
    const listStates = () => directory.listMembers().map(({ instanceId, state, configurationVersion }) => `${instanceId} ${state} ${configurationVersion}`);

    t.strictSame(listStates(), [], "an instance without a description is left out");
    setDescription("other", 1, {});
    t.strictSame(listStates(), ["other running 1"]);
    setDescription("other", 2, { state: "draining", configurationVersion: 2 });
    t.strictSame(listStates(), ["other draining 2"], "a change shows in the next list");
    t.equal(directory.listMembers(), directory.listMembers(), "a list is used again");

    time.addTime(suspectAfterMs);
    t.strictSame(listStates(), ["other draining 2"]);
    time.addTime(21);
    t.strictSame(listStates(), ["other suspect 2"], "silence shows 20 ms late at most");
    t.equal(directory.getMember("other")?.state, "suspect");
    t.equal(directory.getMember("unknown"), undefined);
    registerTable.recordHeartbeat("other", 1, 9, time.getNow());
    t.equal(directory.getMember("other")?.state, "draining", "a single member is always current");
});

/** A reader that stops reading delays nothing and grows no memory. */

import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as logSink from "../../src/kernel/logSink.js";

void tap.test("the log's limits", async t => {
    await t.test("a blocked reader", async t => {
        const time = clock.createVirtualClock();
        const held: Buffer[] = [];
        const sink = new logSink.LogSink({ clock: time, writeBytes: bytes => void held.push(bytes) });
        for (let index = 0; index < 100_000; index += 1) {
            sink.writeLine("x".repeat(200), false);
            time.addTime(1);
        }
        const bytes = held.reduce((sum, part) => sum + part.length, 0);
        t.equal(held.length, 1, "one write is under way");
        t.ok(bytes < 1_000, "and it is small");
        t.ok(sink.countDroppedLines() > 90_000, `${sink.countDroppedLines()} lines were dropped`);
    });
    await t.test("a flood drops quiet lines first and says how many", async t => {
        const time = clock.createVirtualClock();
        let text = "";
        const sink = new logSink.LogSink({
            clock: time,
            writeBytes: (bytes, onDone) => {
                text += bytes.toString();
                onDone(undefined, bytes.length);
            },
        });
        for (let index = 0; index < 2_000; index += 1) {
            sink.writeLine("q".repeat(99), true);
        }
        sink.writeLine("loud", false);
        time.addTime(1_500);
        sink.writeLine("after", true);
        t.equal(text.split("\n").filter(line => line.startsWith("q")).length, 655, "65,536 bytes of quiet lines in a second");
        t.match(text, /loud\n/);
        t.match(text, /"event":"log-lines-dropped","dropped":1345/);
        t.match(text, /after\n/);
    });
    await t.test("the end waits for the reader, and not for one that has stopped", async t => {
        const pending: ((error: undefined, written: number) => void)[] = [];
        const sink = new logSink.LogSink({ clock: clock.createVirtualClock(), writeBytes: (_bytes, onDone) => void pending.push(onDone) });
        let isWritten = false;
        await sink.waitUntilWritten(10_000);
        sink.writeLine("first", false);
        sink.writeLine("second", false);
        const waited = sink.waitUntilWritten(10_000).then(() => {
            isWritten = true;
        });
        pending.shift()!(undefined, "first\n".length);
        await new Promise(resolve => setImmediate(resolve));
        t.notOk(isWritten, "the second line is still under way");
        pending.shift()!(undefined, "second\n".length);
        await waited;
        sink.writeLine("third", false);
        await sink.waitUntilWritten(20);
        t.equal(pending.length, 1, "a reader that has stopped is not waited for longer");
    });
});

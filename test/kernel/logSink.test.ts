/** A log reader that stops reading must neither block the process nor let its memory grow. */

import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as logSink from "../../src/kernel/logSink.js";

void tap.test("log sink limits", async t => {
    await t.test("a reader that has stopped reading", async t => {
        const time = clock.createVirtualClock();
        const writes: Buffer[] = [];
        const sink = new logSink.LogSink({ clock: time, writeBytes: bytes => void writes.push(bytes) });
        for (let index = 0; index < 100_000; index += 1) {
            sink.writeLine("x".repeat(200), false);
            time.addTime(1);
        }
        const bytes = writes.reduce((sum, write) => sum + write.length, 0);
        t.equal(writes.length, 1, "one write is in progress");
        t.ok(bytes < 1_000, "the write is small");
        t.ok(sink.countDroppedLines() > 90_000, `${sink.countDroppedLines()} lines were dropped`);
    });
    await t.test("a flood of lines drops those below warn first and logs the number dropped", async t => {
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
        t.equal(text.split("\n").filter(line => line.startsWith("q")).length, 655, "65,536 bytes of lines below warn in one second");
        t.match(text, /loud\n/);
        t.match(text, /"event":"log-lines-dropped","dropped":1345/);
        t.match(text, /after\n/);
    });
    await t.test("the last lines of a process are written after a flood", async t => {
        let text = "";
        const sink = new logSink.LogSink({
            clock: clock.createVirtualClock(),
            writeBytes: (bytes, onDone) => {
                text += bytes.toString();
                onDone(undefined, bytes.length);
            },
        });
        for (let index = 0; index < 1_000; index += 1) {
            sink.writeLine("q".repeat(99), false);
        }
        sink.writeLine("dropped", true);
        sink.removeLowSeverityLimit();
        sink.writeLine("last", true);
        t.notMatch(text, /dropped/);
        t.match(text, /last\n/);
    });
    await t.test("output that would block is written later", async t => {
        let text = "";
        let isBlocked = true;
        const sink = new logSink.LogSink({
            clock: clock.createVirtualClock(),
            writeBytes: (bytes, onDone) => {
                if (isBlocked) {
                    onDone(Object.assign(new Error("EAGAIN: resource temporarily unavailable, write"), { code: "EAGAIN" }), 0);
                    return;
                }
                text += bytes.toString();
                onDone(undefined, bytes.length);
            },
        });
        sink.writeLine("first", false);
        sink.writeLine("second", false);
        t.equal(text, "");
        isBlocked = false;
        await sink.waitUntilWritten(10_000);
        t.equal(text, "first\nsecond\n");
        t.equal(sink.countDroppedLines(), 0);
    });
    await t.test("lines that cannot be written are counted as dropped", async t => {
        const time = clock.createVirtualClock();
        let text = "";
        let isBroken = true;
        const sink = new logSink.LogSink({
            clock: time,
            writeBytes: (bytes, onDone) => {
                if (isBroken) {
                    onDone(Object.assign(new Error("EIO: i/o error, write"), { code: "EIO" }), 0);
                    return;
                }
                text += bytes.toString();
                onDone(undefined, bytes.length);
            },
        });
        sink.writeLine("lost", false);
        sink.writeLine("lost as well", false);
        t.equal(sink.countDroppedLines(), 2);
        isBroken = false;
        time.addTime(1_500);
        sink.writeLine("after", false);
        t.match(text, /"event":"log-lines-dropped","dropped":2,[^\n]*\nafter\n/);
    });
    await t.test("waitUntilWritten waits for a reader, but only until the timeout if it has stopped", async t => {
        const pending: ((error: undefined, written: number) => void)[] = [];
        const sink = new logSink.LogSink({ clock: clock.createVirtualClock(), writeBytes: (_bytes, onDone) => void pending.push(onDone) });
        let isWritten = false;
        await sink.waitUntilWritten(10_000);
        sink.writeLine("first", false);
        sink.writeLine("second", false);
        const flushed = sink.waitUntilWritten(10_000).then(() => {
            isWritten = true;
        });
        pending.shift()!(undefined, "first\n".length);
        await new Promise(resolve => setImmediate(resolve));
        t.notOk(isWritten, "the second line is not written yet");
        pending.shift()!(undefined, "second\n".length);
        await flushed;
        sink.writeLine("third", false);
        await sink.waitUntilWritten(20);
        t.equal(pending.length, 1, "the wait ends although the reader has stopped");
    });
});

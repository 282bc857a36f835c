/**
 * Guards against links between failure domains that lose or change messages because the dictionaries of the two ends differ,
 * against compressed messages to instances of an earlier release, and against damaged ones that end the process.
 */

import fc from "fast-check";
import tap from "tap";
import * as linkCompression from "../../src/peers/linkCompression.js";
import * as wire from "../../src/peers/wire.js";

const seed = 17;

void tap.test("every sequence of bodies arrives as it was sent, whenever the sender learns that the peer accepts compression", async t => {
    const repeated = fc.constantFrom("gateway-1", "gateway-22", "upstream-117", "notice").map(word => Buffer.from(word.repeat(6)));
    const large = fc.integer({ min: 30_000, max: 40_000 }).map(length => Buffer.alloc(length, "large "));
    const body = fc.oneof({ weight: 8, arbitrary: repeated }, { weight: 4, arbitrary: fc.uint8Array({ minLength: 1, maxLength: 200 }).map(bytes => Buffer.from([1, ...bytes])) }, { weight: 1, arbitrary: large });
    fc.assert(
        fc.property(fc.array(body, { maxLength: 60 }), fc.nat(60), (bodies, acceptedFrom) => {
            const [sender, receiver] = [new linkCompression.LinkCompression(), new linkCompression.LinkCompression()];
            return bodies.every((sent, index) => {
                const encoded = sender.encodeBody(sent, index >= acceptedFrom);
                return encoded.length <= sent.length && receiver.decodeBody(encoded)._unsafeUnwrap().equals(sent);
            });
        }),
        { seed, numRuns: 300 },
    );
    t.pass("300 sequences");
});

void tap.test("a peer of an earlier release is sent every message as before", async t => {
    const compression = new linkCompression.LinkCompression();
    for (let heartbeat = 1; heartbeat < 20; heartbeat += 1) {
        const body = wire.encodeFrame({ type: "heartbeats", entries: [["gateway-1", 1_700_000_000_000, heartbeat], ["gateway-2", 1_700_000_000_000, heartbeat]] }).subarray(wire.lengthPrefixBytes);
        t.ok(compression.encodeBody(body, false).equals(body));
    }
});

void tap.test("repeated heartbeats become short", async t => {
    const compression = new linkCompression.LinkCompression();
    const encode = (heartbeat: number) => {
        const entries = Array.from({ length: 20 }, (_, index) => [`gateway-${index}`, 1_700_000_000_000 + index * 77, heartbeat] satisfies wire.HeartbeatEntry);
        const body = wire.encodeFrame({ type: "heartbeats", entries }).subarray(wire.lengthPrefixBytes);
        return { plain: body.length, compressed: compression.encodeBody(body, true).length };
    };
    encode(300);
    const { plain, compressed } = encode(301);
    t.ok(compressed * 4 < plain, `${compressed} of ${plain} bytes`);
});

void tap.test("damaged and oversized bodies are errors", async t => {
    const compression = new linkCompression.LinkCompression();
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
            compression.decodeBody(Buffer.from([0, ...bytes]));
        }),
        { seed, numRuns: 3_000 },
    );
    const bomb = new linkCompression.LinkCompression().encodeBody(Buffer.alloc(32_768), true);
    t.ok(new linkCompression.LinkCompression().decodeBody(bomb).isOk(), "the largest body that is compressed");
    const { deflateRawSync } = await import("node:zlib");
    const error = new linkCompression.LinkCompression().decodeBody(Buffer.concat([Buffer.of(0), deflateRawSync(Buffer.alloc(1_000_000))]))._unsafeUnwrapErr();
    t.equal(error.kind, "frameInvalid");
    t.ok(wire.decodeMessage(Buffer.of(0, 1, 2, 3)).isErr(), "a link that does not compress rejects a compressed body");
});

/** Guards against instances of an earlier version that get no configuration, and against a damaged reply that ends the fetching for good. */

import * as zlib from "node:zlib";
import tap from "tap";
import * as chunks from "../../src/configuration/chunks.js";
import * as chunkTransfer from "../../src/configuration/chunkTransfer.js";

const texts = ["{\"a\":1}", "{\"b\":2}", "{\"c\":3}"];
const textsByHash = new Map(texts.map(text => [chunks.computeHash(text), text]));
const hashes = [...textsByHash.keys()];

void tap.test("replies to instances of both versions", async t => {
    const replies = new chunkTransfer.ChunkReplies(() => textsByHash);
    const doTest = async (name: string, body: unknown, expected: readonly string[] | undefined) => {
        const reply = replies.createReply(body);
        const read = reply.isOk() ? (chunkTransfer.parseReply(reply.value)).unwrapOr([]) : undefined;
        t.strictSame(read, expected, name);
    };
    await doTest("all texts", chunkTransfer.createRequest(hashes), texts);
    await doTest("the same texts for another peer", chunkTransfer.createRequest(hashes), texts);
    await doTest("some of the texts, one of them unknown", chunkTransfer.createRequest([hashes[2]!, "unknown"]), texts.slice(2));
    await doTest("a malformed request", { hashes: [1] }, undefined);
    const earlier = replies.createReply({ hashes });
    t.strictSame(earlier._unsafeUnwrap(), { texts }, "an earlier version gets texts that are not compressed");
    t.strictSame((chunkTransfer.parseReply({ texts }))._unsafeUnwrap(), texts, "the reply of an earlier version");
});

void tap.test("malformed replies are errors", async t => {
    const doTest = async (name: string, body: unknown) => t.equal((chunkTransfer.parseReply(body))._unsafeUnwrapErr().kind, "peerUnreachable", name);
    await doTest("no fields", {});
    await doTest("texts that are not strings", { texts: [1] });
    await doTest("bytes that are not compressed", { deflated: Buffer.from("{}") });
    await doTest("compressed bytes that are not JSON", { deflated: zlib.deflateSync("[") });
    await doTest("a text that decompresses to more than is allowed", { deflated: zlib.deflateSync(Buffer.alloc(100 * 1_048_576)) });
});

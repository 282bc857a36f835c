/** How chunk texts travel between peers: in replies of bounded size, compressed once for all peers that lack the same chunks. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import * as errors from "../kernel/errors.js";
import * as peers from "../peers/index.js";

/**
 * Maximum size of one reply in bytes; a single chunk may exceed it. A link of 10 Mbit/s carries ten such replies within
 * the default of `--peer-timeout-ms`.
 */
const maximumReplyBytes = 100_000;
/** Maximum length of the chunk texts that are compressed into one reply; a single chunk may exceed it. It bounds the time of the compression. */
const maximumDeflatedCharacters = 500_000;
/** Number of replies that are kept for other peers. */
const maximumKeptReplies = 64;
/** Stands among the requested hashes if the sender reads compressed replies. Earlier versions skip it, as they do any hash that they do not hold. */
const compressionMarker = "accept-deflate";

const requestSchema = z.strictObject({ hashes: z.array(z.string()).max(10_000) });
const textsSchema = z.array(z.string());
const replySchema = z.union([z.strictObject({ texts: textsSchema }), z.strictObject({ deflated: peers.deflatedSchema })]);

/** A request for chunk texts. */
export type ChunkRequest = z.infer<typeof requestSchema>;

/** The reply to a request for chunk texts. */
export type ChunkReply = z.infer<typeof replySchema>;

/**
 * Creates a request for chunk texts.
 * @param hashes - The hashes of the texts. A reply may contain some of them only.
 */
export function createRequest(hashes: readonly string[]): ChunkRequest {
    return { hashes: [compressionMarker, ...hashes] };
}

/** Returns the chunk texts of a peer's reply; a `peerUnreachable` error if it can't be read. */
export function parseReply(body: unknown): Result<readonly string[], errors.FleetError> {
    const { data } = replySchema.safeParse(body);
    if (data === undefined) {
        return err(createMalformedError("its fields"));
    }
    if ("texts" in data) {
        return ok(data.texts);
    }
    return peers.parseDeflated(data.deflated).andThen(value => {
        const texts = textsSchema.safeParse(value).data;
        return texts === undefined ? err(createMalformedError("its texts")) : ok(texts);
    });
}

/** Answers requests for chunk texts. */
export class ChunkReplies {
    /** Compressed replies by the hashes of their texts. */
    private readonly kept = new Map<string, Uint8Array>();

    /** @param getTexts - Returns the texts by hash. */
    constructor(private readonly getTexts: () => ReadonlyMap<string, string>) {}

    /** Returns the reply to a peer's request; a `peerUnreachable` error if the request is malformed. */
    createReply(body: unknown): Result<ChunkReply, errors.FleetError> {
        const { data } = requestSchema.safeParse(body);
        if (data === undefined) {
            return err(createMalformedError("a request"));
        }
        const acceptsDeflated = data.hashes.includes(compressionMarker);
        return ok(acceptsDeflated ? { deflated: this.createDeflated(data.hashes) } : { texts: this.listTexts(this.chooseHashes(data.hashes, maximumReplyBytes)) });
    }

    /** Drops the replies that are kept, because other chunks are requested from now on. */
    removeKept(): void {
        this.kept.clear();
    }

    /** Compresses as many texts as fit into one reply. */
    private createDeflated(requested: readonly string[]): Uint8Array {
        let hashes = this.chooseHashes(requested, maximumDeflatedCharacters);
        let deflated = this.getDeflated(hashes);
        while (deflated.length > maximumReplyBytes && hashes.length > 1) {
            hashes = hashes.slice(0, Math.ceil(hashes.length / 2));
            deflated = this.getDeflated(hashes);
        }
        return deflated;
    }

    private chooseHashes(requested: readonly string[], maximumCharacters: number): readonly string[] {
        const texts = this.getTexts();
        const chosen: string[] = [];
        let characters = 0;
        for (const hash of requested) {
            const text = texts.get(hash);
            if (text === undefined) {
                continue;
            }
            characters += text.length;
            if (characters > maximumCharacters && chosen.length > 0) {
                break;
            }
            chosen.push(hash);
        }
        return chosen;
    }

    private listTexts(hashes: readonly string[]): string[] {
        const texts = this.getTexts();
        return hashes.map(hash => texts.get(hash)!);
    }

    private getDeflated(hashes: readonly string[]): Uint8Array {
        const key = hashes.join(" ");
        const known = this.kept.get(key);
        if (known !== undefined) {
            return known;
        }
        const [oldest] = this.kept.keys();
        if (oldest !== undefined && this.kept.size >= maximumKeptReplies) {
            this.kept.delete(oldest);
        }
        const deflated = peers.createDeflated(this.listTexts(hashes));
        this.kept.set(key, deflated);
        return deflated;
    }
}

function createMalformedError(part: string): errors.FleetError {
    return errors.createError("peerUnreachable", `a configuration message from a peer is malformed: ${part}`);
}

/** The messages between peers and their encoding as length-prefixed CBOR frames. */

import { Decoder, Encoder } from "cbor-x";
import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import * as z from "zod";
import * as errors from "../kernel/errors.js";
import * as nesting from "../kernel/nesting.js";

/** The version of the peer protocol. A peer whose hello message has another version is rejected. */
export const protocolVersion = 1;

const identifierSchema = z.string().min(1).max(128);
const counterSchema = z.number().int().nonnegative();

const registerSchema = z.strictObject({
    topic: identifierSchema,
    origin: identifierSchema,
    incarnation: counterSchema,
    sequence: counterSchema,
    body: z.unknown(),
});

const digestEntrySchema = z.strictObject({
    origin: identifierSchema,
    incarnation: counterSchema,
    heartbeat: counterSchema,
    /** The latest sequence number of each topic that the origin has published. */
    sequences: z.record(identifierSchema, counterSchema),
});

/** The latest heartbeat of an instance: its identifier, its incarnation, its heartbeat counter. */
const heartbeatEntrySchema = z.tuple([identifierSchema, counterSchema, counterSchema]);

/** The schema of every message. The first message that each side sends on a link is `hello`, the second `proof`. */
export const messageSchema = z.discriminatedUnion("type", [
    z.strictObject({
        type: z.literal("hello"),
        version: z.number(),
        fleet: identifierSchema,
        instanceId: identifierSchema,
        incarnation: counterSchema,
        failureDomain: identifierSchema,
        /** A random string. The other side's proof is computed over it, so that an earlier proof can't be replayed. */
        nonce: z.string().min(16).max(128),
    }),
    z.strictObject({ type: z.literal("proof"), mac: z.string().max(128) }),
    z.strictObject({ type: z.literal("heartbeat"), incarnation: counterSchema, heartbeat: counterSchema }),
    /** Heartbeats of several instances, from a relay. */
    z.strictObject({ type: z.literal("heartbeats"), entries: z.array(heartbeatEntrySchema).max(100_000) }),
    /** A hash of the sender's digest without the heartbeats; who has another one replies with its digest. */
    z.strictObject({ type: z.literal("summary"), hash: counterSchema }),
    z.strictObject({ type: z.literal("registers"), registers: z.array(registerSchema) }),
    z.strictObject({ type: z.literal("digest"), entries: z.array(digestEntrySchema), isReply: z.boolean() }),
    z.strictObject({ type: z.literal("notice"), topic: identifierSchema, body: z.unknown() }),
    z.strictObject({ type: z.literal("request"), id: counterSchema, topic: identifierSchema, body: z.unknown() }),
    z.strictObject({ type: z.literal("reply"), id: counterSchema, body: z.unknown() }),
    z.strictObject({ type: z.literal("refusal"), id: counterSchema, message: z.string() }),
]);

/** A message between peers. */
export type Message = z.infer<typeof messageSchema>;

/** A value that an instance, its origin, has published under a topic. */
export type Register = z.infer<typeof registerSchema>;

/** The latest heartbeat of an instance. */
export type HeartbeatEntry = z.infer<typeof heartbeatEntrySchema>;

/** The versions that a peer has of the registers of one origin. */
export type DigestEntry = z.infer<typeof digestEntrySchema>;

/** Size of the length prefix of a frame, an unsigned big-endian integer that counts the bytes of the body. */
export const lengthPrefixBytes = 4;

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes a message as one frame, including the length prefix.
 * @param message - The message.
 */
export function encodeFrame(message: Message): Buffer {
    return createFrame(encoder.encode(message));
}

/** Encodes a message that goes to several peers, with its label in metrics. */
export function encodeLabeledFrame(message: Message): { readonly frame: Buffer; readonly label: string; } {
    return { frame: encodeFrame(message), label: createLabel(message) };
}

/**
 * Creates a frame: the length prefix and the body.
 * @param body - An encoded message, which may be compressed.
 */
export function createFrame(body: Buffer): Buffer {
    const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    frame.set(body, lengthPrefixBytes);
    return frame;
}

/** Returns the label of a message in metrics: its type, and the topic if it has one; registers of several topics have the topic `mixed`. */
export function createLabel(message: Message): string {
    return match(message)
        .with({ type: "registers" }, ({ type, registers }) => `${type}:${registers.every(({ topic }) => topic === registers[0]?.topic) ? registers[0]?.topic ?? "none" : "mixed"}`)
        .with({ type: "notice" }, { type: "request" }, ({ type, topic }) => `${type}:${topic}`)
        .with({ type: "hello" }, { type: "proof" }, { type: "heartbeat" }, { type: "heartbeats" }, { type: "summary" }, { type: "digest" }, { type: "reply" }, { type: "refusal" }, ({ type }) => type)
        .exhaustive();
}

/**
 * Decodes and validates the body of a frame.
 * @param body - The bytes after the length prefix.
 */
export function decodeMessage(body: Buffer): Result<Message, errors.FleetError> {
    let raw: unknown;
    try {
        raw = decoder.decode(body);
    }
    catch (thrown) {
        return err(errors.createError("frameInvalid", `a frame of ${body.length} bytes is not CBOR: ${errors.getErrorMessage(thrown)}`));
    }
    if (nesting.isNestedTooDeeply(raw)) {
        return err(errors.createError("frameInvalid", `a message is nested more than ${nesting.maximumDepth} levels deep`));
    }
    const parsed = messageSchema.safeParse(raw);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        return err(errors.createError("frameInvalid", `a message is malformed at ${issue?.path.join(".") || "its root"}: ${issue?.message}`));
    }
    return ok(parsed.data);
}

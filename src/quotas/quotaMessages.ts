/** The messages between an instance and the owners of limits, as arrays, because they are sent several times a second. */

import * as z from "zod";
import * as cachedParser from "../kernel/cachedParser.js";
import * as quotaLimits from "./quotaLimits.js";

/** The most workspaces that one message asks for. */
export const maximumWants = 256;
/** The most tokens of one workspace in one message. */
export const maximumTokens = 1_000_000;

const identifierSchema = z.string().min(1).max(128);
const counterSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const tokensSchema = z.number().int().min(0).max(maximumTokens);
const keySchema = z.number().int().min(0).max(2 ** 48 - 1);
/** 1: yes, 2: no, 0: the sender does not know. */
const membershipSchema = z.number().int().min(0).max(2);
const timeSchema = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** The time of an owner's reply by its own clock, which proves to it that a later message is not an old one. */
const stampSchema = z.tuple([counterSchema, timeSchema]);

/** What an instance asks an owner for. */
const askSchema = z.tuple([
    /** The owner. */
    identifierSchema,
    /** The asking instance, its incarnation, and the number of this message. */
    identifierSchema,
    counterSchema,
    counterSchema,
    /** The number of members that have a part of the limits, as far as it knows, and whether the owner is one of them. */
    z.number().int().min(1).max(1_000_000),
    membershipSchema,
    /** The shards that it delegates to the owner, one bit each. */
    z.number().int().min(0).max(2 ** quotaLimits.shardCount - 1),
    /** The incarnation and time of the owner's last reply; empty before the first. */
    z.union([stampSchema, z.tuple([])]),
    /** By workspace: its key, the tokens needed, those wanted ahead of need, and earlier ones that were not used. */
    z.array(z.tuple([keySchema, tokensSchema, tokensSchema, tokensSchema])).max(maximumWants),
]);

const replySchema = z.tuple([
    /** The owner's incarnation and time. */
    counterSchema,
    timeSchema,
    /** The number of members that have a part of the limits, as far as it knows, and whether the asking instance is one of them. */
    z.number().int().min(1).max(1_000_000),
    membershipSchema,
    /** By workspace: its key, the tokens granted, after how many milliseconds there will be one, and the requests per second of the limit that the owner knows. */
    z.array(z.tuple([keySchema, tokensSchema, z.number().min(0).max(3_600_000), z.number().positive().max(1_000_000_000)])).max(maximumWants),
]);

/** A decoded request for tokens. */
export interface Ask {
    readonly ownerId: string;
    readonly instanceId: string;
    readonly incarnation: number;
    readonly sequence: number;
    readonly memberCount: number;
    /** Whether the receiver has a part of the limits; undefined if the sender has not run for long enough to know. */
    readonly isMember: boolean | undefined;
    readonly shards: number;
    readonly stamp: Stamp | undefined;
    readonly wants: readonly Want[];
}

/** The time of an owner's reply by its own clock. */
export interface Stamp {
    readonly incarnation: number;
    readonly time: number;
}

/** The tokens of one workspace that an instance asks for. */
export interface Want {
    readonly key: number;
    /** Tokens for requests that wait or are certain to come. */
    readonly needed: number;
    /** Tokens that are granted only while they are plenty, since they may expire unused. */
    readonly ahead: number;
    /** Tokens granted earlier that no request used. */
    readonly returned: number;
}

/** An owner's answer to a request for tokens. */
export interface Reply {
    readonly stamp: Stamp;
    readonly memberCount: number;
    /** Whether the receiver has a part of the limits; undefined if the sender has not run for long enough to know. */
    readonly isMember: boolean | undefined;
    readonly grants: readonly WorkspaceGrant[];
}

/** The tokens of one workspace that an owner grants. */
export interface WorkspaceGrant {
    readonly key: number;
    readonly tokens: number;
    readonly retryAfterMs: number;
    /** The limit that the owner knows, which may be an older one. */
    readonly requestsPerSecond: number;
}

const parseAskTuple = cachedParser.createCachedParser(askSchema);
const parseReplyTuple = cachedParser.createCachedParser(replySchema);

function encodeMembership(isMember: boolean | undefined): number {
    return isMember === undefined ? 0 : isMember ? 1 : 2;
}

function decodeMembership(membership: number): boolean | undefined {
    return membership === 0 ? undefined : membership === 1;
}

/** Encodes a request for tokens as plain data. */
export function encodeAsk({ ownerId, instanceId, incarnation, sequence, memberCount, isMember, shards, stamp, wants }: Ask): z.infer<typeof askSchema> {
    return [
        ownerId,
        instanceId,
        incarnation,
        sequence,
        memberCount,
        encodeMembership(isMember),
        shards,
        stamp === undefined ? [] : [stamp.incarnation, stamp.time],
        wants.map(({ key, needed, ahead, returned }) => [key, needed, ahead, returned]),
    ];
}

/** Decodes a request for tokens; undefined if it is malformed. */
export function decodeAsk(body: unknown): Ask | undefined {
    const tuple = parseAskTuple(body);
    if (tuple === undefined) {
        return undefined;
    }
    const [ownerId, instanceId, incarnation, sequence, memberCount, membership, shards, [stampIncarnation, time], wants] = tuple;
    const stamp = stampIncarnation === undefined || time === undefined ? undefined : { incarnation: stampIncarnation, time };
    return { ownerId, instanceId, incarnation, sequence, memberCount, isMember: decodeMembership(membership), shards, stamp, wants: wants.map(([key, needed, ahead, returned]) => ({ key, needed, ahead, returned })) };
}

/** Encodes a reply as plain data. */
export function encodeReply({ stamp, memberCount, isMember, grants }: Reply): z.infer<typeof replySchema> {
    return [stamp.incarnation, stamp.time, memberCount, encodeMembership(isMember), grants.map(({ key, tokens, retryAfterMs, requestsPerSecond }) => [key, tokens, retryAfterMs, requestsPerSecond])];
}

/** Decodes a reply; undefined if it is malformed. */
export function decodeReply(body: unknown): Reply | undefined {
    const tuple = parseReplyTuple(body);
    if (tuple === undefined) {
        return undefined;
    }
    const [incarnation, time, memberCount, membership, grants] = tuple;
    return { stamp: { incarnation, time }, memberCount, isMember: decodeMembership(membership), grants: grants.map(([key, tokens, retryAfterMs, requestsPerSecond]) => ({ key, tokens, retryAfterMs, requestsPerSecond })) };
}

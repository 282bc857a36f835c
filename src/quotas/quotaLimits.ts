/** The limits of workspaces as the instances compute with them, and the constants that the bound of the whole fleet depends on. */

import * as crypto from "node:crypto";

/**
 * How long tokens may be used after they were requested, in milliseconds. Tokens that were granted before a window and are
 * used in it exceed the limit by the rate times this, which is most of the tolerance of a tenth in 5 s.
 */
export const tokenLifetimeMs = 400;
/** How long an owner counts a delegation, in milliseconds. An instance that loses its owner can't delegate to another one before. */
export const delegationLifetimeMs = 1_000;
/** The number of groups of workspaces that have an owner together. Must stay below 32, since a set of shards is a bit mask. */
export const shardCount = 24;

/** The tolerance of a window of 5 s that does not depend on the limit, in requests. */
const fixedTolerance = 20;
/** Half of the fixed tolerance is left for shares that hold one whole token although less is due to them, a quarter for the slack. */
const slackFixedTolerance = fixedTolerance / 4;
/**
 * What is left of a tenth of the rate in 5 s after the lifetime of tokens, in seconds, and half of what is left of a tenth of
 * the burst, which accrues with the window rate during that lifetime as well.
 */
const slackOfRateS = 0.1;
const slackOfBurst = 0.01;
/** The rest of the tolerance: what an account may save up at the window rate. */
const savedFixedTolerance = fixedTolerance / 4;
const savedOfBurst = 0.01;
/** The slack may be used for a window and the lifetime of tokens before it, so a tenth less than the tolerance is given out. */
const slackMargin = 0.9;
/** The window in which a quota is counted, in milliseconds. */
const windowMs = 5_000;
const millisecondsPerSecond = 1_000;
const keyBytes = 6;

/** A workspace's limit as the configuration has it. */
export interface Quota {
    readonly requestsPerSecond: number;
    readonly burst: number;
}

/** A workspace's limit, ready for use. */
export interface QuotaLimit {
    readonly name: string;
    /** Identifies the workspace in messages: 48 bits of a hash of its name, because names may be long. */
    readonly key: number;
    /** The group of workspaces that it belongs to. */
    readonly shard: number;
    readonly tokensPerMs: number;
    /** The rate at which the burst is spread evenly over the window of the quota. Any 5 s allow 5 times the rate and the burst. */
    readonly windowTokensPerMs: number;
    /** The tokens that may be saved up at that rate. */
    readonly windowSaved: number;
    readonly burst: number;
    /** The tokens that may be granted beyond the limit in 5 s, in place of others that were granted and not used. */
    readonly slack: number;
    readonly requestsPerSecond: number;
}

/** Computes a limit from its configuration. */
export function createQuotaLimit(name: string, { requestsPerSecond, burst }: Quota): QuotaLimit {
    const key = crypto.createHash("sha256").update(name).digest().readUIntBE(0, keyBytes);
    const slack = slackMargin * (slackOfRateS * requestsPerSecond + slackOfBurst * burst + slackFixedTolerance);
    return {
        name,
        key,
        shard: key % shardCount,
        tokensPerMs: requestsPerSecond / millisecondsPerSecond,
        windowTokensPerMs: requestsPerSecond / millisecondsPerSecond + burst / windowMs,
        windowSaved: Math.min(burst, savedFixedTolerance + savedOfBurst * burst),
        burst,
        slack,
        requestsPerSecond,
    };
}

/** Half of the slack is held, and half of it accrues within the window of the tolerance. */
export function computeSlackPerMs({ slack }: QuotaLimit): number {
    return slack / 2 / windowMs;
}

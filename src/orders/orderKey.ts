/**
 * Parses order keys, and creates and authenticates their prefixes. A key is either made by the caller, or it starts with
 * a prefix that an instance issued. Such a prefix names the issuing instance, which owns the key.
 */

import * as crypto from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";

const separator = "~";
const issuedPartCount = 5;
const macLength = 16;
const maximumLength = 256;
const keyPattern = /^[A-Za-z0-9._:~-]+$/;

/** A key with a prefix that was issued by an instance, which owns the key. */
export interface IssuedKey {
    readonly kind: "issued";
    readonly text: string;
    readonly owner: string;
    readonly incarnation: number;
    /** When the prefix expires, in milliseconds since the owner's start by its monotonic clock. */
    readonly expiresAtMs: number;
    /** Authenticates the prefix. */
    readonly mac: string;
}

/** A key made by the caller; it does not contain the separator `~`. */
export interface CallerKey {
    readonly kind: "caller";
    readonly text: string;
}

/** A parsed order key. */
export type OrderKey = IssuedKey | CallerKey;

/** The fields that a prefix encodes. */
export interface PrefixFields {
    /** The identifier of the instance that issues the prefix. */
    readonly owner: string;
    /** When the owner's process started, in milliseconds since the epoch. */
    readonly incarnation: number;
    /** In milliseconds since the owner's start by its monotonic clock. */
    readonly expiresAtMs: number;
}

/**
 * Creates a prefix. To form a key, the caller appends the separator `~` and an identifier of its own.
 * @param fields - The owner and the expiry.
 * @param secret - Known to the owner only.
 */
export function createPrefix(fields: PrefixFields, secret: string): string {
    return [fields.owner, fields.incarnation.toString(36), Math.floor(fields.expiresAtMs).toString(36), computeMac(fields, secret)].join(separator);
}

/**
 * Parses an order key without checking its MAC or expiry.
 * @param text - The value of the order key header.
 */
export function parseOrderKey(text: string): Result<OrderKey, errors.FleetError> {
    if (text.length > maximumLength || !keyPattern.test(text)) {
        return err(errors.createError("orderKeyInvalid", `the order key must be 1 to ${maximumLength} characters of A-Z, a-z, 0-9, '.', '_', ':', '-' and '~'`));
    }
    const parts = text.split(separator);
    if (parts.length === 1) {
        return ok({ kind: "caller", text });
    }
    const [owner, incarnation, expiresAt, mac, callerPart] = parts;
    if (parts.length !== issuedPartCount || !owner || !incarnation || !expiresAt || !mac || !callerPart) {
        return err(errors.createError("orderKeyInvalid", "an order key with '~' must consist of an issued prefix, '~', and a caller-made part without '~'"));
    }
    const parsed = { kind: "issued" as const, text, owner, incarnation: parseInt(incarnation, 36), expiresAtMs: parseInt(expiresAt, 36), mac };
    if (!Number.isSafeInteger(parsed.incarnation) || !Number.isSafeInteger(parsed.expiresAtMs)) {
        return err(errors.createError("orderKeyInvalid", "the prefix of the order key is malformed"));
    }
    return ok(parsed);
}

/**
 * Returns whether a key's MAC was created with a secret, that is, whether the holder of the secret issued the prefix.
 * @param key - The key.
 * @param secret - Known to the owner only.
 */
export function isMacValid(key: IssuedKey, secret: string): boolean {
    const expected = computeMac(key, secret);
    return key.mac.length === expected.length && crypto.timingSafeEqual(Buffer.from(key.mac), Buffer.from(expected));
}

function computeMac({ owner, incarnation, expiresAtMs }: PrefixFields, secret: string): string {
    return crypto.createHmac("sha256", secret).update(`${owner}:${incarnation}:${Math.floor(expiresAtMs)}`).digest("hex").slice(0, macLength);
}

/** Order keys: issued by an instance, with the owner in the key, or made by the caller. */

import * as crypto from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";

const separator = "~";
const issuedPartCount = 5;
const macLength = 16;
const maximumLength = 256;
const keyPattern = /^[A-Za-z0-9._:~-]+$/;

/** A key whose prefix an instance has issued. */
export interface IssuedKey {
    readonly kind: "issued";
    readonly text: string;
    readonly owner: string;
    readonly incarnation: number;
    /** When the prefix expires, in milliseconds of the owner's monotonic clock since its start. */
    readonly expiresAtMs: number;
    readonly mac: string;
}

/** A key of the caller's own making; it holds no separator. */
export interface CallerKey {
    readonly kind: "caller";
    readonly text: string;
}

/** An order key. */
export type OrderKey = IssuedKey | CallerKey;

/** What a prefix says. */
export interface PrefixFields {
    readonly owner: string;
    readonly incarnation: number;
    readonly expiresAtMs: number;
}

/**
 * Creates a prefix; a caller appends the separator and a part of its own.
 * @param fields - The owner and the expiry.
 * @param secret - Known to the owner alone.
 */
export function createPrefix(fields: PrefixFields, secret: string): string {
    return [fields.owner, fields.incarnation.toString(36), Math.floor(fields.expiresAtMs).toString(36), computeMac(fields, secret)].join(separator);
}

/**
 * Parses an order key.
 * @param text - The header's value.
 */
export function parseOrderKey(text: string): Result<OrderKey, errors.FleetError> {
    if (text.length > maximumLength || !keyPattern.test(text)) {
        return err(errors.createError("orderKeyInvalid", `the order key must be 1 to ${maximumLength} characters of A-Z, a-z, 0-9, '.', '_', ':', '-' and '~'`));
    }
    const parts = text.split(separator);
    if (parts.length === 1) {
        return ok({ kind: "caller", text });
    }
    const [owner, incarnation, expiresAt, mac, own] = parts;
    if (parts.length !== issuedPartCount || !owner || !incarnation || !expiresAt || !mac || !own) {
        return err(errors.createError("orderKeyInvalid", "a key with '~' must be an issued prefix, '~', and a part of the caller's own without '~'"));
    }
    const parsed = { kind: "issued" as const, text, owner, incarnation: parseInt(incarnation, 36), expiresAtMs: parseInt(expiresAt, 36), mac };
    if (!Number.isSafeInteger(parsed.incarnation) || !Number.isSafeInteger(parsed.expiresAtMs)) {
        return err(errors.createError("orderKeyInvalid", "the key's prefix is malformed"));
    }
    return ok(parsed);
}

/**
 * Returns whether this owner issued a key's prefix.
 * @param key - The key.
 * @param secret - Known to the owner alone.
 */
export function isMacValid(key: IssuedKey, secret: string): boolean {
    const expected = computeMac(key, secret);
    return key.mac.length === expected.length && crypto.timingSafeEqual(Buffer.from(key.mac), Buffer.from(expected));
}

function computeMac({ owner, incarnation, expiresAtMs }: PrefixFields, secret: string): string {
    return crypto.createHmac("sha256", secret).update(`${owner}:${incarnation}:${Math.floor(expiresAtMs)}`).digest("hex").slice(0, macLength);
}

/** Parses values that seldom change once, however often they are read. */

import type { z } from "zod";

/** Parses a value; undefined where it is malformed. */
export type CachedParser<T> = (body: unknown) => T | undefined;

/**
 * Creates a parser that remembers the result for each object, which must not change.
 * @param schema - What the values must be.
 */
export function createCachedParser<T>(schema: z.ZodType<T>): CachedParser<T> {
    const known = new WeakMap<object, { readonly parsed: T | undefined; }>();
    return body => {
        if (typeof body !== "object" || !body) {
            return schema.safeParse(body).data;
        }
        const before = known.get(body);
        if (before !== undefined) {
            return before.parsed;
        }
        const parsed = schema.safeParse(body).data;
        known.set(body, { parsed });
        return parsed;
    };
}

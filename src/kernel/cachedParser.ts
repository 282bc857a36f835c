/** A schema parser that caches its result for each input object, for values that are read far more often than they change. */

import type * as z from "zod";

/** Parses a value; returns undefined if it does not match the schema. */
export type CachedParser<T> = (value: unknown) => T | undefined;

/** Creates a parser that caches the result for each object by identity; the objects must not be mutated. */
export function createCachedParser<T>(schema: z.ZodType<T>): CachedParser<T> {
    const cache = new WeakMap<object, { readonly parsed: T | undefined; }>();
    return value => {
        if (typeof value !== "object" || !value) {
            return schema.safeParse(value).data;
        }
        const cached = cache.get(value);
        if (cached !== undefined) {
            return cached.parsed;
        }
        const parsed = schema.safeParse(value).data;
        cache.set(value, { parsed });
        return parsed;
    };
}

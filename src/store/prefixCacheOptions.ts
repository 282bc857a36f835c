/** What a prefix cache is created with. */

import type * as context from "../kernel/context.js";
import type * as restoredEntries from "./restoredEntries.js";
import type * as types from "./types.js";

/** Options of a prefix cache. */
export interface CreatePrefixCacheOptions {
    readonly context: context.Context;
    readonly store: types.StoreService;
    readonly prefix: string;
    /** Compares the contents of two entries of a key, for a store that returned with an older copy. */
    readonly decideOrder?: restoredEntries.DecideOrder;
    /** Called after each change with all entries by key. */
    readonly onChange: (entries: ReadonlyMap<string, types.Entry>) => void;
    /** Returns the longest time without an answer of the store that suits the owner, in milliseconds. */
    readonly getMaximumWaitMs?: () => number;
    /** Called whenever the store itself has answered, if the store reports that. */
    readonly onProgress?: () => void;
    /** Called when entries are missing after the store was unreachable from this instance. They may reappear. */
    readonly onEntriesMissing?: () => void;
}

/** Compares two entries of an upstream by their contents, because revisions are given out again after the store returned with an older copy. */

import type * as store from "../store/index.js";
import type * as directory from "./directory.js";

/** Returns whether an entry was written before or after a known one of its key. */
export function decideOrder(parseEntry: directory.ParseEntry, entry: store.Entry, known: store.Entry): store.EntryOrder {
    const content = parseEntry(entry.key, entry.value).unwrapOr(undefined);
    const knownContent = parseEntry(known.key, known.value).unwrapOr(undefined);
    const startedAtMs = content?.definition.startedAtMs;
    const knownStartedAtMs = knownContent?.definition.startedAtMs;
    if (startedAtMs === undefined || knownStartedAtMs === undefined) {
        return "unknown";
    }
    if (startedAtMs !== knownStartedAtMs) {
        return startedAtMs < knownStartedAtMs ? "older" : "newer";
    }
    const { sequence } = content ?? {};
    const { sequence: knownSequence } = knownContent ?? {};
    if (sequence === undefined || knownSequence === undefined) {
        return "unknown";
    }
    if (sequence === knownSequence) {
        return entry.value === known.value ? "same" : "unknown";
    }
    return sequence < knownSequence ? "older" : "newer";
}

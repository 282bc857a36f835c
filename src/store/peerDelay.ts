/** In what the entries of a followed peer are behind those that the store has reported to this instance. */

import type * as logger from "../kernel/logger.js";

/** The most keys of each kind that a log line has. */
const maximumLoggedKeys = 5;

/** What was not taken over from a peer. */
export interface PeerDelay {
    /** The keys of the peer's entries that are not used, because the store has reported their removal. */
    readonly removedKeys: readonly string[];
    /** The keys of entries that stay, because they were written after the revision that the peer has reached. */
    readonly writtenKeys: readonly string[];
}

/** The delay of a peer whose entries were all taken over. */
export const noDelay: PeerDelay = { removedKeys: [], writtenKeys: [] };

/** Options of `writePeerDelay`. */
export interface WritePeerDelayOptions {
    readonly logger: logger.Logger;
    readonly prefix: string;
    readonly delay: PeerDelay;
    /** The revision that the peer has reached; undefined if it does not tell it. */
    readonly peerRevision: number | undefined;
    /** The revision up to which the store has reported all changes to this instance. */
    readonly revision: number | undefined;
}

/** Logs what was not taken over from a peer, if anything. */
export function writePeerDelay({ logger, prefix, delay: { removedKeys, writtenKeys }, peerRevision, revision }: WritePeerDelayOptions): void {
    if (removedKeys.length + writtenKeys.length === 0) {
        return;
    }
    logger.writeInfo("directory-peer-behind", `a peer's entries of ${prefix} lack changes that the store has reported here: ${removedKeys.length} removals, ${writtenKeys.length} additions`, {
        prefix,
        peerRevision,
        revision,
        removals: formatKeys(removedKeys),
        additions: formatKeys(writtenKeys),
    });
}

function formatKeys(keys: readonly string[]): string {
    return keys.slice(0, maximumLoggedKeys).join(" ");
}

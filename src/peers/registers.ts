/** Replicated registers: the newest value by origin and topic, synchronized between instances by exchanging digests (anti-entropy). */

import type * as wire from "./wire.js";

/** How long a tombstone is kept, as a multiple of `deadAfterMs`. It stops a peer with outdated state from bringing back a removed origin. */
const tombstoneRetentionPeriods = 10;

/** Sums of hashes stay below this, so that they are exact. */
const summaryModulus = 2 ** 48;

/** What is known of one origin, the instance that publishes a register. */
interface OriginState {
    incarnation: number;
    heartbeat: number;
    /** When its heartbeat counter last advanced, in monotonic milliseconds. */
    lastHeartbeatAt: number;
    readonly topics: Map<string, { sequence: number; body: unknown; }>;
}

/** Options of a register table. */
export interface CreateRegisterTableOptions {
    /** This instance's identifier. */
    readonly selfId: string;
    readonly incarnation: number;
    /** Milliseconds without a new heartbeat after which an origin is removed. */
    readonly deadAfterMs: number;
    /** By how many heartbeats a peer may be behind on an origin before it is sent a digest in reply. */
    readonly maximumHeartbeatLag: number;
}

/** The difference between this table and a peer's digest. */
export interface DigestComparison {
    /** The registers that the peer lacks or has in an older version. */
    readonly missingAtPeer: readonly wire.Register[];
    /** Whether the peer has registers that are missing or older in this table. */
    readonly isLocalBehind: boolean;
    /** Whether the peer is so far behind on the heartbeats of an origin that it may soon take the origin for silent. */
    readonly isPeerLagging: boolean;
}

/**
 * Holds the newest registers and the heartbeat of every origin.
 * @remarks Registers are ordered by the incarnation of the origin, then by sequence number. Every `now` is in monotonic milliseconds.
 */
export class RegisterTable {
    private readonly origins = new Map<string, OriginState>();
    /** The hash of the digest; undefined after a change. */
    private summary: number | undefined;
    private readonly tombstones = new Map<string, { readonly incarnation: number; readonly heartbeat: number; readonly at: number; }>();

    constructor(private readonly options: CreateRegisterTableOptions) {
        this.origins.set(options.selfId, { incarnation: options.incarnation, heartbeat: 0, lastHeartbeatAt: 0, topics: new Map() });
    }

    /**
     * Increments this instance's heartbeat counter and returns the new value.
     * @param now - The current time.
     */
    incrementHeartbeat(now: number): number {
        const self = this.getSelf();
        self.heartbeat += 1;
        self.lastHeartbeatAt = now;
        return self.heartbeat;
    }

    /**
     * Sets this instance's value of a topic and returns the register to send to peers.
     * @param topic - The topic.
     * @param body - Plain data.
     */
    setOwnRegister(topic: string, body: unknown): wire.Register {
        const self = this.getSelf();
        const sequence = (self.topics.get(topic)?.sequence ?? 0) + 1;
        self.topics.set(topic, { sequence, body });
        this.summary = undefined;
        return { topic, origin: this.options.selfId, incarnation: this.options.incarnation, sequence, body };
    }

    /**
     * Records a heartbeat of an origin. Returns false if it is not newer than the one known.
     * @param origin - The origin's identifier.
     * @param incarnation - The origin's incarnation; a newer incarnation discards the registers of the older one.
     * @param heartbeat - The origin's heartbeat counter.
     * @param now - The current time.
     */
    recordHeartbeat(origin: string, incarnation: number, heartbeat: number, now: number): boolean {
        if (origin === this.options.selfId || this.isCoveredByTombstone(origin, incarnation, heartbeat)) {
            return false;
        }
        const state = this.origins.get(origin);
        if (state === undefined || incarnation > state.incarnation) {
            this.tombstones.delete(origin);
            this.origins.set(origin, { incarnation, heartbeat, lastHeartbeatAt: now, topics: new Map() });
            this.summary = undefined;
            return true;
        }
        if (incarnation < state.incarnation || heartbeat <= state.heartbeat) {
            return false;
        }
        state.heartbeat = heartbeat;
        state.lastHeartbeatAt = now;
        return true;
    }

    /**
     * Merges a register of another origin. Returns whether the table has changed.
     * @param register - The register.
     * @param now - The current time.
     */
    mergeRegister(register: wire.Register, now: number): boolean {
        if (register.origin === this.options.selfId) {
            return false;
        }
        const knownState = this.origins.get(register.origin);
        if (knownState === undefined || register.incarnation > knownState.incarnation) {
            this.recordHeartbeat(register.origin, register.incarnation, 0, now);
        }
        const state = this.origins.get(register.origin);
        if (state === undefined || state.incarnation !== register.incarnation) {
            return false;
        }
        if (register.sequence <= (state.topics.get(register.topic)?.sequence ?? 0)) {
            return false;
        }
        state.topics.set(register.topic, { sequence: register.sequence, body: register.body });
        this.summary = undefined;
        return true;
    }

    /** Returns the digest of this table: heartbeats and sequence numbers without the values. */
    getDigest(): readonly wire.DigestEntry[] {
        return [...this.origins].map(([origin, state]) => ({
            origin,
            incarnation: state.incarnation,
            heartbeat: state.heartbeat,
            sequences: Object.fromEntries([...state.topics].map(([topic, { sequence }]) => [topic, sequence])),
        }));
    }

    /**
     * Records the heartbeats in a peer's digest and compares its sequence numbers with this table.
     * @param entries - The peer's digest.
     * @param now - The current time.
     */
    mergeDigest(entries: readonly wire.DigestEntry[], now: number): DigestComparison {
        entries.forEach(entry => this.recordHeartbeat(entry.origin, entry.incarnation, entry.heartbeat, now));
        const peerEntries = new Map(entries.map(entry => [entry.origin, entry]));
        const missingAtPeer = [...this.origins].flatMap(([origin, state]) => this.listNewerRegisters(origin, state, peerEntries.get(origin)));
        return {
            missingAtPeer,
            isLocalBehind: entries.some(entry => this.isOlderThanEntry(entry)),
            isPeerLagging: entries.some(entry => this.isEntryLagging(entry)),
        };
    }

    /**
     * Returns an origin's value of a topic; undefined if there is none.
     * @param origin - The origin's identifier.
     * @param topic - The topic.
     */
    getBody(origin: string, topic: string): unknown {
        return this.origins.get(origin)?.topics.get(topic)?.body;
    }

    /** Returns the incarnation and the latest heartbeat of an origin; undefined if the origin is not known. */
    getHeartbeat(origin: string): { readonly incarnation: number; readonly heartbeat: number; } | undefined {
        return this.origins.get(origin);
    }

    /** Returns a hash of the digest without the heartbeats. Equal tables have equal hashes in whatever order they were filled. */
    getSummary(): number {
        this.summary ??= this.computeSummary();
        return this.summary;
    }

    /** Lists the identifiers of the known origins, including this instance. */
    listOrigins(): readonly string[] {
        return [...this.origins.keys()];
    }

    /**
     * Returns an origin's incarnation; undefined if the origin is not known.
     * @param origin - The origin's identifier.
     */
    getIncarnation(origin: string): number | undefined {
        return this.origins.get(origin)?.incarnation;
    }

    /**
     * Returns milliseconds since an origin's heartbeat last advanced; zero for this instance, infinite for an unknown origin.
     * @param origin - The origin's identifier.
     * @param now - The current time.
     */
    getSilenceMs(origin: string, now: number): number {
        return origin === this.options.selfId ? 0 : now - (this.origins.get(origin)?.lastHeartbeatAt ?? -Infinity);
    }

    /**
     * Removes the origins without a new heartbeat for more than `deadAfterMs`, leaving a tombstone for each. Returns their identifiers.
     * @param now - The current time.
     */
    removeDeadOrigins(now: number): readonly string[] {
        const deadOrigins = this.listOrigins().filter(origin => this.getSilenceMs(origin, now) > this.options.deadAfterMs);
        for (const origin of deadOrigins) {
            const { incarnation, heartbeat } = this.origins.get(origin)!;
            this.tombstones.set(origin, { incarnation, heartbeat, at: now });
            this.origins.delete(origin);
            this.summary = undefined;
        }
        for (const [origin, { at }] of this.tombstones) {
            if (now - at > this.options.deadAfterMs * tombstoneRetentionPeriods) {
                this.tombstones.delete(origin);
            }
        }
        return deadOrigins;
    }

    /** Adds up the hashes of the entries, since a sum does not depend on their order. */
    private computeSummary(): number {
        let sum = 0;
        for (const [origin, { incarnation, topics }] of this.origins) {
            for (const [topic, { sequence }] of topics) {
                sum = (sum + computeHash(`${origin}\0${incarnation}\0${topic}\0${sequence}`)) % summaryModulus;
            }
        }
        return sum;
    }

    private getSelf(): OriginState {
        return this.origins.get(this.options.selfId)!;
    }

    /** Returns whether a heartbeat is no newer than the last one of a removed origin. */
    private isCoveredByTombstone(origin: string, incarnation: number, heartbeat: number): boolean {
        const tombstone = this.tombstones.get(origin);
        if (tombstone === undefined || incarnation > tombstone.incarnation) {
            return false;
        }
        return incarnation < tombstone.incarnation || heartbeat <= tombstone.heartbeat;
    }

    /** Lists the registers of an origin that are missing or older in the peer's digest entry. */
    private listNewerRegisters(origin: string, state: OriginState, peerEntry: wire.DigestEntry | undefined): readonly wire.Register[] {
        if (peerEntry !== undefined && peerEntry.incarnation > state.incarnation) {
            return [];
        }
        const peerSequences = peerEntry?.incarnation === state.incarnation ? peerEntry.sequences : {};
        return [...state.topics]
            .filter(([topic, { sequence }]) => sequence > (peerSequences[topic] ?? 0))
            .map(([topic, { sequence, body }]) => ({ topic, origin, incarnation: state.incarnation, sequence, body }));
    }

    /** Returns whether this table is missing registers that a peer's digest entry lists. */
    private isOlderThanEntry(entry: wire.DigestEntry): boolean {
        const state = this.origins.get(entry.origin);
        if (state === undefined) {
            return !this.isCoveredByTombstone(entry.origin, entry.incarnation, entry.heartbeat);
        }
        if (state.incarnation !== entry.incarnation) {
            return entry.incarnation > state.incarnation;
        }
        return Object.entries(entry.sequences).some(([topic, sequence]) => sequence > (state.topics.get(topic)?.sequence ?? 0));
    }

    private isEntryLagging({ origin, incarnation, heartbeat }: wire.DigestEntry): boolean {
        const state = this.origins.get(origin);
        return state?.incarnation === incarnation && state.heartbeat - heartbeat > this.options.maximumHeartbeatLag;
    }
}

/** Computes the FNV-1a hash of a text, with 32 bits. */
function computeHash(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}

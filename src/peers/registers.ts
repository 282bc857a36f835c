/** The registers that instances publish: the newest value by origin and topic, merged by anti-entropy. */

import type * as wire from "./wire.js";

/** How many silent periods a forgotten origin's heartbeat is remembered, so that a lagging peer does not bring it back. */
const tombstoneRetentionPeriods = 10;

interface OriginState {
    incarnation: number;
    heartbeat: number;
    lastHeartbeatAt: number;
    readonly topics: Map<string, { sequence: number; body: unknown; }>;
}

/** Options of a register table. */
export interface CreateRegisterTableOptions {
    /** The identifier of this instance. */
    readonly selfId: string;
    readonly incarnation: number;
    /** Silence after which an origin is forgotten, in milliseconds. */
    readonly deadAfterMs: number;
}

/** What a digest of a peer asks of this table. */
export interface DigestComparison {
    /** The registers that the peer lacks. */
    readonly missingAtPeer: readonly wire.Register[];
    /** Whether the peer holds something newer. */
    readonly isLocalBehind: boolean;
}

/** Holds the newest registers of every origin; it is told the time, in monotonic milliseconds. */
export class RegisterTable {
    private readonly origins = new Map<string, OriginState>();
    private readonly tombstones = new Map<string, { readonly incarnation: number; readonly heartbeat: number; readonly at: number; }>();

    constructor(private readonly options: CreateRegisterTableOptions) {
        this.origins.set(options.selfId, { incarnation: options.incarnation, heartbeat: 0, lastHeartbeatAt: 0, topics: new Map() });
    }

    /**
     * Advances this instance's heartbeat.
     * @param now - The time.
     */
    incrementHeartbeat(now: number): number {
        const self = this.getSelf();
        self.heartbeat += 1;
        self.lastHeartbeatAt = now;
        return self.heartbeat;
    }

    /**
     * Sets this instance's value of a topic.
     * @param topic - The topic.
     * @param body - Plain data.
     */
    setOwnRegister(topic: string, body: unknown): wire.Register {
        const self = this.getSelf();
        const sequence = (self.topics.get(topic)?.sequence ?? 0) + 1;
        self.topics.set(topic, { sequence, body });
        return { topic, origin: this.options.selfId, incarnation: this.options.incarnation, sequence, body };
    }

    /**
     * Records that an origin lives, if its heartbeat is newer than the one known.
     * @param origin - Its identifier.
     * @param incarnation - Its start.
     * @param heartbeat - Its heartbeat.
     * @param now - The time.
     */
    recordHeartbeat(origin: string, incarnation: number, heartbeat: number, now: number): boolean {
        if (origin === this.options.selfId || this.isCoveredByTombstone(origin, incarnation, heartbeat)) {
            return false;
        }
        const known = this.origins.get(origin);
        if (known === undefined || incarnation > known.incarnation) {
            this.tombstones.delete(origin);
            this.origins.set(origin, { incarnation, heartbeat, lastHeartbeatAt: now, topics: new Map() });
            return true;
        }
        if (incarnation < known.incarnation || heartbeat <= known.heartbeat) {
            return false;
        }
        known.heartbeat = heartbeat;
        known.lastHeartbeatAt = now;
        return true;
    }

    /**
     * Merges a register of another origin; returns whether it was news.
     * @param register - The register.
     * @param now - The time.
     */
    mergeRegister(register: wire.Register, now: number): boolean {
        if (register.origin === this.options.selfId) {
            return false;
        }
        const before = this.origins.get(register.origin);
        if (before === undefined || register.incarnation > before.incarnation) {
            this.recordHeartbeat(register.origin, register.incarnation, 0, now);
        }
        const origin = this.origins.get(register.origin);
        if (origin === undefined || origin.incarnation !== register.incarnation) {
            return false;
        }
        if (register.sequence <= (origin.topics.get(register.topic)?.sequence ?? 0)) {
            return false;
        }
        origin.topics.set(register.topic, { sequence: register.sequence, body: register.body });
        return true;
    }

    /** Returns what this table holds, without bodies. */
    getDigest(): readonly wire.DigestEntry[] {
        return [...this.origins].map(([origin, held]) => ({
            origin,
            incarnation: held.incarnation,
            heartbeat: held.heartbeat,
            sequences: Object.fromEntries([...held.topics].map(([topic, { sequence }]) => [topic, sequence])),
        }));
    }

    /**
     * Compares a peer's digest with this table, recording the heartbeats in it.
     * @param entries - The digest.
     * @param now - The time.
     */
    mergeDigest(entries: readonly wire.DigestEntry[], now: number): DigestComparison {
        entries.forEach(entry => this.recordHeartbeat(entry.origin, entry.incarnation, entry.heartbeat, now));
        const theirs = new Map(entries.map(entry => [entry.origin, entry]));
        const missingThere = [...this.origins].flatMap(([origin, held]) => this.listNewerRegisters(origin, held, theirs.get(origin)));
        return { missingAtPeer: missingThere, isLocalBehind: entries.some(entry => this.isOlderThanEntry(entry)) };
    }

    /**
     * Returns an origin's value of a topic.
     * @param origin - The origin.
     * @param topic - The topic.
     */
    getBody(origin: string, topic: string): unknown {
        return this.origins.get(origin)?.topics.get(topic)?.body;
    }

    /** Lists the known origins, this instance included. */
    listOrigins(): readonly string[] {
        return [...this.origins.keys()];
    }

    /**
     * Returns an origin's incarnation.
     * @param origin - The origin.
     */
    getIncarnation(origin: string): number | undefined {
        return this.origins.get(origin)?.incarnation;
    }

    /**
     * Returns milliseconds since an origin's heartbeat last advanced.
     * @param origin - The origin.
     * @param now - The time.
     */
    getSilenceMs(origin: string, now: number): number {
        return origin === this.options.selfId ? 0 : now - (this.origins.get(origin)?.lastHeartbeatAt ?? -Infinity);
    }

    /**
     * Forgets the origins that have been silent for too long; returns them.
     * @param now - The time.
     */
    removeDeadOrigins(now: number): readonly string[] {
        const dead = this.listOrigins().filter(origin => this.getSilenceMs(origin, now) > this.options.deadAfterMs);
        for (const origin of dead) {
            const { incarnation, heartbeat } = this.origins.get(origin)!;
            this.tombstones.set(origin, { incarnation, heartbeat, at: now });
            this.origins.delete(origin);
        }
        for (const [origin, { at }] of this.tombstones) {
            if (now - at > this.options.deadAfterMs * tombstoneRetentionPeriods) {
                this.tombstones.delete(origin);
            }
        }
        return dead;
    }

    private getSelf(): OriginState {
        return this.origins.get(this.options.selfId)!;
    }

    private isCoveredByTombstone(origin: string, incarnation: number, heartbeat: number): boolean {
        const tombstone = this.tombstones.get(origin);
        if (tombstone === undefined || incarnation > tombstone.incarnation) {
            return false;
        }
        return incarnation < tombstone.incarnation || heartbeat <= tombstone.heartbeat;
    }

    private listNewerRegisters(origin: string, held: OriginState, theirs: wire.DigestEntry | undefined): readonly wire.Register[] {
        if (theirs !== undefined && theirs.incarnation > held.incarnation) {
            return [];
        }
        const known = theirs?.incarnation === held.incarnation ? theirs.sequences : {};
        return [...held.topics]
            .filter(([topic, { sequence }]) => sequence > (known[topic] ?? 0))
            .map(([topic, { sequence, body }]) => ({ topic, origin, incarnation: held.incarnation, sequence, body }));
    }

    private isOlderThanEntry(entry: wire.DigestEntry): boolean {
        const held = this.origins.get(entry.origin);
        if (held === undefined) {
            return !this.isCoveredByTombstone(entry.origin, entry.incarnation, entry.heartbeat);
        }
        if (held.incarnation !== entry.incarnation) {
            return entry.incarnation > held.incarnation;
        }
        return Object.entries(entry.sequences).some(([topic, sequence]) => sequence > (held.topics.get(topic)?.sequence ?? 0));
    }
}

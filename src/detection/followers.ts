/** Tracks which instances follow this one as their decider, and how many instances might be in the fleet. */

import * as z from "zod";
import * as cachedParser from "../kernel/cachedParser.js";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";

/** How long an instance must have followed a decider before it counts; by then it no longer applies the phases of a former one. */
const followerConfirmationMs = 3_500;
/** How long an instance that has become silent still counts as a member of the fleet. */
const memberRetentionMs = 3_600_000;
const topic = "followed";

/** Parses a register that holds the decider an instance follows for each service. */
const parseFollowedDeciders = cachedParser.createCachedParser(z.record(z.string(), z.string()));

/** Options of the follower tracking. */
export interface CreateFollowersOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
}

/** Tracks followers. If detection is not shared, each instance follows only itself and knows no other instance. */
export class Followers {
    private readonly lastHeardAt = new Map<string, number>();
    /** For each service, when each follower was first observed to follow this instance. */
    private readonly followedSince = new Map<string, Map<string, number>>();
    private publishedText = "";

    constructor(private readonly options: CreateFollowersOptions) {}

    /**
     * Records which members are alive. Removes members that drain or that have been silent for longer than the retention time.
     * @param members - The members in the states that this instance observes.
     * @param now - The time, in monotonic milliseconds.
     */
    recordMembers(members: readonly peers.Member[], now: number): void {
        members.filter(member => member.state !== "suspect").forEach(member => this.lastHeardAt.set(member.instanceId, now));
        members.filter(member => member.state === "draining").forEach(member => this.lastHeardAt.delete(member.instanceId));
        for (const [instanceId, at] of this.lastHeardAt) {
            if (now - at > memberRetentionMs) {
                this.lastHeardAt.delete(instanceId);
            }
        }
    }

    /**
     * Publishes which decider this instance follows for each service.
     * @param deciders - Instance identifiers by service.
     */
    publishFollowedDeciders(deciders: Readonly<Record<string, string>>): void {
        const text = JSON.stringify(deciders);
        if (text !== this.publishedText) {
            this.publishedText = text;
            this.options.mesh.setRegister(topic, deciders);
        }
    }

    /** Counts the instances that might be in the fleet; at least 1. */
    countKnownInstances(): number {
        return this.isShared() ? Math.max(1, this.lastHeardAt.size) : 1;
    }

    /**
     * Lists the instances that have followed this one long enough that the phases of a former decider have expired there.
     * @param now - The time, in monotonic milliseconds.
     */
    listFollowers(service: string, now: number): readonly string[] {
        const { mesh, context: { identity } } = this.options;
        if (!this.isShared()) {
            return [identity.instanceId];
        }
        const alive = new Set(mesh.listMembers().filter(member => member.state !== "suspect").map(member => member.instanceId));
        const following = [...mesh.getRegisters(topic)]
            .filter(([origin, body]) => alive.has(origin) && parseFollowedDeciders(body)?.[service] === identity.instanceId)
            .map(([origin]) => origin);
        const before = this.followedSince.get(service);
        const since = new Map(following.map(origin => [origin, before?.get(origin) ?? now]));
        this.followedSince.set(service, since);
        return following.filter(origin => now - since.get(origin)! >= followerConfirmationMs);
    }

    /** Removes the followers of a service, because its decider has changed. */
    removeFollowers(service: string): void {
        this.followedSince.delete(service);
    }

    private isShared(): boolean {
        return this.options.context.settings.detection === "shared";
    }
}

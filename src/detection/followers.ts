/** Which instances follow this one as a decider, and how many might be in the fleet. */

import { z } from "zod";
import * as cachedParser from "../kernel/cachedParser.js";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";

/** How long an instance must have followed a decider before it counts, in milliseconds; by then it has left a former one. */
const followHoldMs = 3_500;
/** How long a silent instance still counts as one of the fleet, in milliseconds. */
const rememberedMs = 3_600_000;
const topic = "followed";

/** Parses which decider an instance follows for each service. */
const parseFollowed = cachedParser.createCachedParser(z.record(z.string(), z.string()));

/** Options of the followers. */
export interface CreateFollowersOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
}

/** Counts followers; where instances decide alone, each follows itself and knows no other. */
export class Followers {
    private readonly lastHeardAt = new Map<string, number>();
    /** When each follower of a service was first seen to follow this instance. */
    private readonly followedSince = new Map<string, Map<string, number>>();
    private published = "";

    constructor(private readonly options: CreateFollowersOptions) {}

    /**
     * Records who is heard.
     * @param members - The members as judged here.
     * @param now - The time, in monotonic milliseconds.
     */
    recordMembers(members: readonly peers.Member[], now: number): void {
        members.filter(member => member.state !== "suspect").forEach(member => this.lastHeardAt.set(member.instanceId, now));
        members.filter(member => member.state === "draining").forEach(member => this.lastHeardAt.delete(member.instanceId));
        for (const [instanceId, at] of this.lastHeardAt) {
            if (now - at > rememberedMs) {
                this.lastHeardAt.delete(instanceId);
            }
        }
    }

    /**
     * Tells the others which decider this instance follows for each service.
     * @param deciders - Instance identifiers by service.
     */
    publishFollowedDeciders(deciders: Readonly<Record<string, string>>): void {
        const text = JSON.stringify(deciders);
        if (text !== this.published) {
            this.published = text;
            this.options.mesh.setRegister(topic, deciders);
        }
    }

    /** Counts the instances that might be in the fleet. */
    countKnownInstances(): number {
        return this.isShared() ? Math.max(1, this.lastHeardAt.size) : 1;
    }

    /**
     * Lists the instances that have followed this one long enough for a former decider's verdicts to have lapsed there.
     * @param service - The service.
     * @param now - The time, in monotonic milliseconds.
     */
    listFollowers(service: string, now: number): readonly string[] {
        const { mesh, context: { identity } } = this.options;
        if (!this.isShared()) {
            return [identity.instanceId];
        }
        const alive = new Set(mesh.listMembers().filter(member => member.state !== "suspect").map(member => member.instanceId));
        const following = [...mesh.getRegisters(topic)]
            .filter(([origin, body]) => alive.has(origin) && parseFollowed(body)?.[service] === identity.instanceId)
            .map(([origin]) => origin);
        const before = this.followedSince.get(service);
        const since = new Map(following.map(origin => [origin, before?.get(origin) ?? now]));
        this.followedSince.set(service, since);
        return following.filter(origin => now - since.get(origin)! >= followHoldMs);
    }

    /**
     * Forgets who followed this instance, when it begins or ends to decide for a service.
     * @param service - The service.
     */
    removeFollowers(service: string): void {
        this.followedSince.delete(service);
    }

    private isShared(): boolean {
        return this.options.context.settings.detection === "shared";
    }
}

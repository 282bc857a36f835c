/**
 * Starts the comparison of registers on a link. A digest grows with the fleet, and while a fleet starts, each instance opens many
 * links within a second; a digest on each link to another failure domain would be most of the traffic between domains.
 */

import type * as context from "../kernel/context.js";
import type * as link from "./link.js";
import type * as registers from "./registers.js";

/** The shortest time between two digests to instances of one other failure domain. */
const digestIntervalMs = 1_000;

/** Options of a digest exchange. */
export interface CreateDigestExchangeOptions {
    readonly context: Pick<context.Context, "clock" | "identity" | "loop">;
    readonly registerTable: registers.RegisterTable;
}

/** Sends digests, and summaries where a digest must wait. */
export class DigestExchange {
    /** When the last digest was sent to each other failure domain, in monotonic milliseconds. */
    private readonly sentAt = new Map<string, number>();

    constructor(private readonly options: CreateDigestExchangeOptions) {}

    /**
     * Starts the comparison on a new link. Between failure domains the instance with the smaller identifier does, and the other
     * one answers with its own digest if it is behind.
     */
    handleLinkOpen(peerLink: link.PeerLink): void {
        const { instanceId, failureDomain } = peerLink.getPeer()!;
        const { identity } = this.options.context;
        if (failureDomain !== identity.failureDomain && instanceId < identity.instanceId) {
            this.scheduleSummary(peerLink);
            return;
        }
        this.sendDigest(peerLink);
    }

    /** Compares the registers with those of a peer that has others. */
    receiveSummary(peerLink: link.PeerLink, hash: number): void {
        if (hash !== this.options.registerTable.getSummary()) {
            this.sendDigest(peerLink);
        }
    }

    /** Sends a digest, or, if the last one to that failure domain was sent just before, a summary later. */
    private sendDigest(peerLink: link.PeerLink): void {
        const { context: { clock, identity }, registerTable } = this.options;
        const { failureDomain } = peerLink.getPeer()!;
        const now = clock.getNow();
        if (failureDomain !== identity.failureDomain) {
            if (now - (this.sentAt.get(failureDomain) ?? -Infinity) < digestIntervalMs) {
                this.scheduleSummary(peerLink);
                return;
            }
            this.sentAt.set(failureDomain, now);
        }
        peerLink.sendMessage({ type: "digest", entries: [...registerTable.getDigest()], isReply: false });
    }

    private scheduleSummary(peerLink: link.PeerLink): void {
        const { context: { loop }, registerTable } = this.options;
        loop.scheduleOnce(digestIntervalMs, () => peerLink.sendMessage({ type: "summary", hash: registerTable.getSummary() }));
    }
}

/** The members of the fleet as read from the registers. */

import type * as clock from "../kernel/clock.js";
import type * as link from "./link.js";
import * as members from "./members.js";
import type * as registers from "./registers.js";

/** The topic under which each instance publishes its own description. */
export const memberTopic = "member";

/** How long a list is returned again if no member changes; short next to the silence that makes a member suspect. */
const listLifetimeMs = 20;

/** Options of a member directory. */
export interface CreateMemberDirectoryOptions {
    readonly clock: clock.Clock;
    readonly registerTable: registers.RegisterTable;
    /** The silence after which a member is suspect, in milliseconds. */
    readonly suspectAfterMs: number;
}

/** Lists the members whose descriptions are known. */
export class MemberDirectory {
    private list?: { readonly createdAt: number; readonly members: readonly members.Member[]; };

    constructor(private readonly options: CreateMemberDirectoryOptions) {}

    /** Lists the known members, this instance first; an instance whose description has not arrived yet is left out. */
    listMembers(): readonly members.Member[] {
        const now = this.options.clock.getNow();
        if (this.list === undefined || now - this.list.createdAt > listLifetimeMs) {
            this.list = { createdAt: now, members: this.options.registerTable.listOrigins().flatMap(origin => this.createMember(origin, now) ?? []) };
        }
        return this.list.members;
    }

    /** Returns the number of members that the list would have. */
    countMembers(): number {
        const { registerTable } = this.options;
        return registerTable.listOrigins().filter(origin => members.parseDescription(registerTable.getBody(origin, memberTopic)) !== undefined).length;
    }

    /**
     * Returns the member with an identifier; undefined if it is not known.
     * @param instanceId - The instance identifier.
     */
    getMember(instanceId: string): members.Member | undefined {
        return this.createMember(instanceId, this.options.clock.getNow());
    }

    /** Returns whether a peer accepts compressed messages, by the description of the process that the link leads to. */
    isCompressionAccepted({ instanceId, incarnation }: link.PeerIdentity): boolean {
        const { registerTable } = this.options;
        return registerTable.getIncarnation(instanceId) === incarnation && members.parseDescription(registerTable.getBody(instanceId, memberTopic))?.acceptsCompression === true;
    }

    /** Makes the next list show the latest descriptions. */
    recordChange(): void {
        this.list = undefined;
    }

    private createMember(origin: string, now: number): members.Member | undefined {
        const { registerTable, suspectAfterMs } = this.options;
        const description = members.parseDescription(registerTable.getBody(origin, memberTopic));
        if (description === undefined) {
            return undefined;
        }
        return members.createMember(origin, registerTable.getIncarnation(origin)!, description, registerTable.getSilenceMs(origin, now), suspectAfterMs);
    }
}

/** Chooses an upstream of a service for a request. */

import { match } from "ts-pattern";
import type * as randomness from "../kernel/randomness.js";
import type * as upstream from "./upstream.js";

/** Options of `chooseUpstream`. */
export interface ChooseUpstreamOptions {
    readonly upstreams: readonly upstream.Upstream[];
    /** The current time, in monotonic milliseconds. */
    readonly now: number;
    readonly randomness: randomness.Randomness;
    /** Whether the request may safely run twice. Only repeatable requests are sent to an upstream on trial. */
    readonly isRepeatable: boolean;
    /** Identifiers of upstreams that must not be chosen, such as those already tried by this request. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    /** Identifiers of the upstreams whose slots are allocated to this instance. */
    readonly allocatedUpstreamIds: ReadonlySet<string>;
}

/** Minimum progress of a recovering upstream's ramp, from 0 to 1, for requests that are not repeatable. */
const minimumRampForNonRepeatable = 0.5;

/**
 * Chooses an eligible upstream with free capacity; undefined if there is none.
 * @remarks An upstream on trial that is assigned to this instance comes first. Next is the least loaded of the upstreams
 * allocated to this instance, then the less loaded of two random upstreams. Avoided upstreams are used only if no other
 * is eligible, and only without in-flight requests.
 */
export function chooseUpstream(options: ChooseUpstreamOptions): upstream.Upstream | undefined {
    const eligible = options.upstreams.filter(candidate => isEligible(candidate, options));
    const trial = eligible.find(candidate => candidate.routability.kind === "trial");
    if (trial !== undefined) {
        return trial;
    }
    const preferred = eligible.filter(candidate => !candidate.isAvoided(options.now));
    const allocated = preferred.filter(candidate => options.allocatedUpstreamIds.has(candidate.getId()));
    return chooseLeastLoaded(allocated)
        ?? chooseLeastLoadedOfTwo(preferred, options.randomness)
        ?? chooseLeastLoadedOfTwo(eligible.filter(candidate => candidate.getInFlight() === 0), options.randomness);
}

function isEligible(candidate: upstream.Upstream, options: ChooseUpstreamOptions): boolean {
    const { now, isRepeatable, excludedUpstreamIds } = options;
    if (candidate.isLeaving(now) || excludedUpstreamIds.has(candidate.getId()) || !candidate.hasCapacity(now)) {
        return false;
    }
    return match(candidate.routability)
        .with({ kind: "routable" }, () => true)
        .with({ kind: "ejected" }, () => false)
        .with({ kind: "trial" }, ({ isAssignedHere }) => isAssignedHere && isRepeatable && candidate.getInFlight() === 0)
        .with({ kind: "recovering" }, ({ startedAt, durationMs }) => {
            const ramp = (now - startedAt) / durationMs;
            return (isRepeatable || ramp >= minimumRampForNonRepeatable) && options.randomness.getFraction() < ramp;
        })
        .exhaustive();
}

function chooseLeastLoaded(candidates: readonly upstream.Upstream[]): upstream.Upstream | undefined {
    return candidates.reduce<upstream.Upstream | undefined>((least, candidate) => least === undefined || candidate.getInFlight() < least.getInFlight() ? candidate : least, undefined);
}

function chooseLeastLoadedOfTwo(candidates: readonly upstream.Upstream[], random: randomness.Randomness): upstream.Upstream | undefined {
    const chooseRandom = () => candidates[Math.floor(random.getFraction() * candidates.length)];
    const first = chooseRandom();
    const second = chooseRandom();
    if (first === undefined || second === undefined) {
        return first;
    }
    return second.getInFlight() < first.getInFlight() ? second : first;
}

/** Chooses an upstream for a request among those of a service. */

import { match } from "ts-pattern";
import type * as randomness from "../kernel/randomness.js";
import type * as upstream from "./upstream.js";

/** Options of a choice. */
export interface ChooseUpstreamOptions {
    readonly upstreams: readonly upstream.Upstream[];
    readonly now: number;
    readonly randomness: randomness.Randomness;
    /** Whether running the request twice does no harm; others never go to an upstream on trial. */
    readonly isRepeatable: boolean;
    /** Identifiers of upstreams that this request has been at. */
    readonly excluded: ReadonlySet<string>;
    /** Identifiers of the upstreams whose slots are lent to this instance. */
    readonly allocatedUpstreamIds: ReadonlySet<string>;
}

/** The least part of a recovering upstream's ramp at which it gets requests that may not be repeated. */
const minimumRampForNonRepeatable = 0.5;

/**
 * Chooses an upstream with room; undefined where there is none.
 * @remarks An assigned trial comes first; then those in good standing, the least loaded of those lent here, then the lesser load of two;
 * an avoided upstream only where no other has room and it works on nothing.
 */
export function chooseUpstream(options: ChooseUpstreamOptions): upstream.Upstream | undefined {
    const open = options.upstreams.filter(candidate => isEligible(candidate, options));
    const trial = open.find(candidate => candidate.routability.kind === "trial");
    if (trial !== undefined) {
        return trial;
    }
    const preferred = open.filter(candidate => !candidate.isAvoided(options.now));
    const lent = preferred.filter(candidate => options.allocatedUpstreamIds.has(candidate.getId()));
    return chooseLeastLoaded(lent)
        ?? chooseLeastLoadedOfTwo(preferred, options.randomness)
        ?? chooseLeastLoadedOfTwo(open.filter(candidate => candidate.getInFlight() === 0), options.randomness);
}

function isEligible(candidate: upstream.Upstream, options: ChooseUpstreamOptions): boolean {
    const { now, isRepeatable, excluded } = options;
    if (candidate.isLeaving(now) || excluded.has(candidate.getId()) || !candidate.hasCapacity(now)) {
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
    const draw = () => candidates[Math.floor(random.getFraction() * candidates.length)];
    const first = draw();
    const second = draw();
    if (first === undefined || second === undefined) {
        return first;
    }
    return second.getInFlight() < first.getInFlight() ? second : first;
}

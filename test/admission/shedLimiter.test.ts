/**
 * Load pattern: the order service of the clinic gateway, and the smaller service at which it was observed, most of whose
 * upstreams shed half and more of what they get for 8 s. Guards against attempts that only find out again that an upstream
 * sheds, against a limit that refuses what would be accepted, and against one that outlasts the shedding.
 */

import tap, { type Test as Tap } from "tap";
import * as shedDetector from "../../src/admission/shedDetector.js";
import * as shedLimiter from "../../src/admission/shedLimiter.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

const workMs = 240;
const slots = 3;
const queuedPerSlot = 1;
const shedFrom = 12_000;
const shedUntil = 20_000;
const durationMs = 28_000;
const stepMs = 5;
const suspectProbability = 0.5;
const maximumAttempts = 6;
const burst = 6;
const seeds = [1, 2, 3];

/** How the upstreams shed: up to a rate that they accept, or each request by chance. */
type Shedding = { readonly kind: "rate"; readonly acceptedPerS: number; } | { readonly kind: "chance"; readonly shedShare: number; };

interface Site {
    readonly upstreamCount: number;
    readonly sheddingCount: number;
    readonly instances: number;
    readonly requestsPerS: number;
    readonly shedding: Shedding;
    /** Whether instances share health estimates. */
    readonly isShared: boolean;
    /** Whether upstreams are chosen by their health estimate; otherwise by load. */
    readonly isByHealth: boolean;
}

interface Counts {
    requests: number;
    served: number;
    attempts: number;
    sheds: number;
}

interface SimulatedUpstream {
    readonly id: string;
    readonly isShedding: boolean;
    readonly estimate: upstreamHealth.HealthEstimate;
    inFlight: number;
    tokens: number;
}

/** Sends the requests of the site; each is sent again while it is shed, within the retry budget of its instance. */
function runSite({ upstreamCount, sheddingCount, instances, requestsPerS, shedding, isShared, isByHealth }: Site, seed: number, isLimited: boolean) {
    const { getFraction } = randomness.createSeededRandomness(seed);
    const upstreams = Array.from({ length: upstreamCount }, (_, index): SimulatedUpstream => ({ id: `u${index}`, isShedding: index < sheddingCount, estimate: new upstreamHealth.HealthEstimate(), inFlight: 0, tokens: 1 }));
    const changes: string[] = [];
    let now = 0;
    const getSuspectShare = () => isShared ? upstreams.filter(({ estimate }) => estimate.getFailureProbability(now) > suspectProbability).length / upstreamCount : undefined;
    const fleet = Array.from(
        { length: instances },
        () => ({
            budget: 0,
            detector: new shedDetector.ShedDetector(getSuspectShare, now),
            limiter: new shedLimiter.ShedLimiter({ guaranteedShares: [0.2, 0.2, 0.1], getSuspectShare, onChange: ({ kind }) => changes.push(kind) }, now),
        }),
    );
    const ends: { readonly at: number; readonly run: () => void; }[] = [];
    const during: Counts = { requests: 0, served: 0, attempts: 0, sheds: 0 };
    const after: Counts = { requests: 0, served: 0, attempts: 0, sheds: 0 };
    const before: Counts = { requests: 0, served: 0, attempts: 0, sheds: 0 };
    const isAccepted = (upstream: SimulatedUpstream) => {
        if (!upstream.isShedding || now < shedFrom || now >= shedUntil) {
            return true;
        }
        if (shedding.kind === "chance") {
            return getFraction() >= shedding.shedShare;
        }
        const hasToken = upstream.tokens >= 1;
        upstream.tokens -= hasToken ? 1 : 0;
        return hasToken;
    };
    const send = (instance: typeof fleet[number], counts: Counts, tried: ReadonlySet<string>) => {
        const available = upstreams.filter(({ id, inFlight }) => !tried.has(id) && inFlight < slots * (1 + queuedPerSlot));
        const scored = available.map(upstream => ({
            upstream,
            cost: isByHealth ? upstream.estimate.getFailureProbability(now) + (upstream.inFlight / slots) * 0.01 + getFraction() * 0.001 : upstream.inFlight + getFraction() * 2,
        }));
        const chosen = scored.reduce<typeof scored[number] | undefined>((best, next) => best === undefined || next.cost < best.cost ? next : best, undefined)?.upstream;
        if (chosen === undefined) {
            return;
        }
        counts.attempts += 1;
        const sentAt = now;
        if (isAccepted(chosen)) {
            counts.served += 1;
            chosen.inFlight += 1;
            ends.push({
                at: now + workMs * (0.5 + getFraction()),
                run: () => {
                    chosen.inFlight -= 1;
                    chosen.estimate.recordObservation("good", sentAt, now);
                    instance.limiter.recordAttempt(chosen.id, false, now);
                    instance.detector.recordAttempt(chosen.id, false, now);
                },
            });
            return;
        }
        counts.sheds += 1;
        if (chosen.inFlight < slots || (isLimited && instance.detector.isShedding(now))) {
            chosen.estimate.recordObservation("bad", sentAt, now);
        }
        if (isLimited) {
            instance.limiter.recordAttempt(chosen.id, true, now);
            instance.detector.recordAttempt(chosen.id, true, now);
        }
        if (instance.budget >= 1 && tried.size + 1 < maximumAttempts && (!isLimited || !instance.limiter.isProven())) {
            instance.budget -= 1;
            send(instance, counts, new Set([...tried, chosen.id]));
        }
    };
    for (; now < durationMs; now += stepMs) {
        ends.filter(({ at }) => at <= now).forEach(end => {
            ends.splice(ends.indexOf(end), 1);
            end.run();
        });
        upstreams.forEach(upstream => {
            upstream.tokens = Math.min(burst, upstream.tokens + (shedding.kind === "rate" ? (shedding.acceptedPerS * stepMs) / 1_000 : 0));
        });
        const counts = now < shedFrom ? before : now < shedUntil ? during : after;
        for (const instance of fleet) {
            instance.budget = Math.min(5, instance.budget + (168 / 10 / instances) * (stepMs / 1_000));
            if (getFraction() < (requestsPerS / instances) * (stepMs / 1_000)) {
                counts.requests += 1;
                instance.budget += 0.2;
                const isAdmitted = !isLimited || instance.limiter.admitRequest(1, now);
                if (isAdmitted) {
                    send(instance, counts, new Set());
                }
            }
        }
    }
    return { before, during, after, changes };
}

const formatCounts = ({ requests, served, attempts, sheds }: Counts) => `served ${(served / requests).toFixed(3)}, shed ${(sheds / attempts).toFixed(3)} of ${attempts}`;

interface Expectation {
    /** The least served share, as a multiple of that where every shed request is sent on. */
    readonly served: number;
    /** The largest share of shed attempts. */
    readonly shed: number;
    /** The least served share in the 8 s after the shedding. */
    readonly after: number;
}

function checkSites(t: Tap, name: string, site: Site, expected: Expectation): void {
    for (const seed of seeds) {
        const sentOn = runSite(site, seed, false);
        const limited = runSite(site, seed, true);
        const kinds = ["closed", "opened", "suspended"].map(kind => `${kind} ${limited.changes.filter(change => change === kind).length}`).join(", ");
        t.comment(`${name}, seed ${seed}: ${formatCounts(limited.during)}, after it ${formatCounts(limited.after)}, limits ${kinds}; sent on: ${formatCounts(sentOn.during)}`);
        t.ok(limited.during.served / limited.during.requests >= (expected.served * sentOn.during.served) / sentOn.during.requests, `${name}, seed ${seed}: the served share`);
        t.ok(limited.during.sheds <= limited.during.attempts * expected.shed, `${name}, seed ${seed}: the share of shed attempts`);
        t.ok(limited.after.served >= limited.after.requests * expected.after, `${name}, seed ${seed}: the served share after the shedding`);
        t.equal(limited.before.served, limited.before.requests, `${name}, seed ${seed}: nothing is refused before the shedding`);
    }
}

const clinic: Omit<Site, "shedding"> = { upstreamCount: 100, sheddingCount: 85, instances: 38, requestsPerS: 284, isShared: true, isByHealth: true };
const observed: Omit<Site, "shedding"> = { ...clinic, upstreamCount: 27, sheddingCount: 23 };
const foodDistribution: Omit<Site, "shedding"> = { ...observed, instances: 130, requestsPerS: 210 };

void tap.test("most upstreams shed, and the others have room for all requests", async t => {
    checkSites(t, "half is shed by chance", { ...clinic, shedding: { kind: "chance", shedShare: 0.5 } }, { served: 1, shed: 0.07, after: 0.99 });
    checkSites(t, "four fifths are shed by chance", { ...clinic, shedding: { kind: "chance", shedShare: 0.8 } }, { served: 1, shed: 0.07, after: 0.99 });
    checkSites(t, "two a second are accepted", { ...clinic, shedding: { kind: "rate", acceptedPerS: 2 } }, { served: 1, shed: 0.09, after: 0.99 });
});

void tap.test("most upstreams shed, and the others are too few", async t => {
    checkSites(t, "half is shed by chance", { ...observed, shedding: { kind: "chance", shedShare: 0.5 } }, { served: 0.95, shed: 0.4, after: 0.98 });
    checkSites(t, "eight a second are accepted", { ...observed, shedding: { kind: "rate", acceptedPerS: 8 } }, { served: 1, shed: 0.2, after: 0.98 });
    checkSites(t, "half is shed by chance, 130 instances", { ...foodDistribution, shedding: { kind: "chance", shedShare: 0.5 } }, { served: 0.95, shed: 0.4, after: 0.98 });
    checkSites(t, "five a second are accepted, 130 instances", { ...foodDistribution, shedding: { kind: "rate", acceptedPerS: 5 } }, { served: 1, shed: 0.25, after: 0.98 });
});

void tap.test("all upstreams shed", async t => {
    checkSites(t, "half is shed by chance", { ...observed, sheddingCount: 27, shedding: { kind: "chance", shedShare: 0.5 } }, { served: 0.88, shed: 0.55, after: 0.98 });
    checkSites(t, "eight a second are accepted", { ...observed, sheddingCount: 27, shedding: { kind: "rate", acceptedPerS: 8 } }, { served: 1, shed: 0.45, after: 0.98 });
});

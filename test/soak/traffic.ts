/** The traffic of a soak: which requests callers send, and how. */

import type * as platform from "../harness/platform.js";

/** How a caller sends a request and reads its response. */
export type Manner = "prompt" | "lateStart" | "lateEnd" | "lateReading";

/** A request to send. */
export interface PlannedRequest {
    /** The name and prefix of its route. */
    readonly route: string;
    readonly isOrder: boolean;
    /** Whether it may use a connection that was kept open. */
    readonly isKept: boolean;
    readonly deadlineMs: number;
    /** The deadline or the timeout of its route, whichever is shorter. */
    readonly timeLimitMs: number;
    readonly manner: Manner;
    /** The pause before the first byte, before the last chunk or before reading. */
    readonly pauseMs: number;
    /** The time that the worker takes beyond the usual. */
    readonly extraWorkMs: number;
    readonly requestBytes: number;
    readonly responseBytes: number;
    readonly abortAfterMs: number | undefined;
}

/** What the choice of a request depends on. */
export interface CreateRequestOptions {
    /** Returns the next random number between 0 and 1. */
    readonly getRandom: () => number;
    /** The fraction of late requests whose work is slow. */
    readonly slowFraction: number;
}

/** The traffic of all callers. */
export interface Traffic {
    readonly routes: readonly platform.TestRoute[];
    /** The time that a worker takes for a request. */
    readonly workMs: number;
    /** The mean pause between two requests of a caller. */
    readonly pauseMs: number;
    /** The fraction of callers that use an address until it fails, whatever newer lists of addresses say. */
    readonly loyalFraction: number;
    readonly createRequest: (options: CreateRequestOptions) => PlannedRequest;
}

/** The deadline of requests on the short routes, equal to the timeout of these routes. */
const shortDeadlineMs = 4_000;
/** The timeout of the long routes. */
const longTimeoutMs = 12_000;
/** The fraction of requests that are orders, and of those that go to the long routes. */
const orderFraction = 0.5;
const longFraction = 0.5;
/** The fraction of requests that the caller aborts, and the latest time at which it does so. */
const abortFraction = 0.05;
const maximumAbortDelayMs = 200;
/** The fractions of requests sent on a new connection some time after it was opened, in chunks with a late last one, and with a response left unread for a time. */
const mannerFractions: readonly (readonly [Manner, number])[] = [["lateStart", 0.12], ["lateEnd", 0.12], ["lateReading", 0.015]];
/** The range of pauses before a late request or chunk. They are shorter than the time limit for the head on a new connection. */
const minimumLateMs = 1_800;
const maximumLateMs = 2_600;
/** The longest time for which a response is left unread. A response that begins before a stopping instance closes its port is read before the instance ends. */
const maximumUnreadMs = 2_000;
/** The range of slow work. The longest outlasts a planned stop if it begins in its second half. */
const minimumSlowWorkMs = 3_000;
const maximumSlowWorkMs = 5_000;
/** The length of a response, and of one that is left unread, which exceeds what the kernel buffers. */
const responseBytes = 100;
const unreadResponseBytes = 16 * 1024 * 1024;
const orderBytes = 6;

/** Quick requests at short intervals, some of them sent late, read late or slow. */
const quickTraffic: Traffic = {
    routes: [
        { name: "audit", prefix: "/audit/", kind: "safe", service: "desk", timeoutMs: longTimeoutMs },
        { name: "dispatch", prefix: "/dispatch/", kind: "unsafe", service: "desk", timeoutMs: longTimeoutMs },
    ],
    workMs: 40,
    pauseMs: 120,
    loyalFraction: 0,
    createRequest: ({ getRandom, slowFraction }) => {
        const manner = chooseManner(getRandom());
        // Instances do not pass on large responses to orders.
        const isOrder = (getRandom() < orderFraction && manner !== "lateReading") || manner === "lateEnd";
        const isLong = getRandom() < longFraction || manner === "lateReading";
        const deadlineMs = isLong ? longTimeoutMs : shortDeadlineMs;
        return {
            route: isOrder ? isLong ? "dispatch" : "order" : isLong ? "audit" : "look",
            isOrder,
            isKept: true,
            deadlineMs,
            timeLimitMs: deadlineMs,
            manner,
            pauseMs: manner === "lateReading" ? getRandom() * maximumUnreadMs : minimumLateMs + getRandom() * (maximumLateMs - minimumLateMs),
            extraWorkMs: getRandom() < slowFraction && (manner === "lateStart" || manner === "lateEnd") ? minimumSlowWorkMs + getRandom() * (maximumSlowWorkMs - minimumSlowWorkMs) : 0,
            requestBytes: isOrder ? orderBytes : 0,
            responseBytes: manner === "lateReading" ? unreadResponseBytes : responseBytes,
            abortAfterMs: getRandom() < abortFraction && manner === "prompt" ? getRandom() * maximumAbortDelayMs : undefined,
        };
    },
};

/** A kind of request in a mix. */
interface RequestKind {
    readonly route: platform.TestRoute;
    /** Its part of all requests, relative to the other kinds. */
    readonly weight: number;
    readonly isKept: boolean;
    readonly deadlineMs: number;
    /** The mean work, the relative spread around it, and the upper bound. */
    readonly work: { readonly meanMs: number; readonly spread: number; readonly maximumMs: number; };
    readonly requestBytes: number;
    readonly responseBytes: number;
}

/** The fraction of requests whose work is several times the mean, and that factor. */
const tailFraction = 0.01;
const tailFactor = 4;
/** The fraction of orders sent in chunks, and the longest pause before the last one. */
const chunkedFraction = 0.2;
const maximumChunkPauseMs = 400;
/** The spread of the lengths of bodies around their mean. */
const lengthSpread = 0.6;

/** Lists, mailings and slow queries of an archive, from many callers that keep idle connections. */
const mailingMix: readonly RequestKind[] = [
    { route: { name: "list", prefix: "/list/", kind: "safe", service: "desk", timeoutMs: 2_000 }, weight: 2, isKept: true, deadlineMs: 4_000, work: { meanMs: 200, spread: 0.3, maximumMs: 1_500 }, requestBytes: 0, responseBytes: 500 },
    {
        route: { name: "mailing", prefix: "/mailing/", kind: "unsafe", service: "desk", timeoutMs: 2_500 },
        weight: 5,
        isKept: true,
        deadlineMs: 5_000,
        work: { meanMs: 300, spread: 0.3, maximumMs: 1_800 },
        requestBytes: 250,
        responseBytes: 2_000,
    },
    { route: { name: "proof", prefix: "/proof/", kind: "download", service: "desk" }, weight: 1, isKept: false, deadlineMs: 4_000, work: { meanMs: 200, spread: 0.3, maximumMs: 1_500 }, requestBytes: 0, responseBytes: 100_000 },
    {
        route: { name: "archive", prefix: "/archive/", kind: "safe", service: "desk", timeoutMs: 8_000 },
        weight: 1,
        isKept: false,
        deadlineMs: 15_000,
        work: { meanMs: 900, spread: 0.8, maximumMs: 6_500 },
        requestBytes: 0,
        responseBytes: 2_000,
    },
];
/** Quick lookups and bookings with short deadlines, and slow queries. */
const recordsMix: readonly RequestKind[] = [
    { route: { name: "certificate", prefix: "/certificate/", kind: "safe", service: "desk" }, weight: 2, isKept: true, deadlineMs: 1_000, work: { meanMs: 100, spread: 0.5, maximumMs: 600 }, requestBytes: 0, responseBytes: 500 },
    { route: { name: "booking", prefix: "/booking/", kind: "unsafe", service: "desk" }, weight: 5, isKept: true, deadlineMs: 2_000, work: { meanMs: 150, spread: 0.5, maximumMs: 800 }, requestBytes: 1_000, responseBytes: 500 },
    { route: { name: "curve", prefix: "/curve/", kind: "download", service: "desk" }, weight: 1, isKept: false, deadlineMs: 2_500, work: { meanMs: 100, spread: 0.3, maximumMs: 600 }, requestBytes: 0, responseBytes: 100_000 },
    {
        route: { name: "audit", prefix: "/audit/", kind: "safe", service: "desk", timeoutMs: 2_000 },
        weight: 1,
        isKept: false,
        deadlineMs: 3_000,
        work: { meanMs: 400, spread: 0.8, maximumMs: 2_500 },
        requestBytes: 0,
        responseBytes: 5_000,
    },
];

function createMixedTraffic(mix: readonly RequestKind[]): Traffic {
    const totalWeight = mix.reduce((sum, { weight }) => sum + weight, 0);
    return {
        routes: mix.map(({ route }) => route),
        workMs: 1,
        pauseMs: 5_000,
        loyalFraction: 0.3,
        createRequest: ({ getRandom }) => {
            let remainingWeight = getRandom() * totalWeight;
            const { route, isKept, deadlineMs, work, ...bytes } = mix.find(({ weight }) => (remainingWeight -= weight) < 0) ?? mix[0]!;
            const isOrder = route.kind === "unsafe";
            const tail = getRandom() < tailFraction ? tailFactor : 1;
            return {
                route: route.name,
                isOrder,
                isKept,
                deadlineMs,
                timeLimitMs: Math.min(deadlineMs, route.timeoutMs ?? Infinity),
                manner: isOrder && getRandom() < chunkedFraction ? "lateEnd" : "prompt",
                pauseMs: getRandom() * maximumChunkPauseMs,
                extraWorkMs: Math.min(work.maximumMs, chooseLogNormal(work.meanMs * tail, work.spread, getRandom)),
                requestBytes: Math.ceil(chooseLogNormal(bytes.requestBytes, lengthSpread, getRandom)),
                responseBytes: Math.ceil(chooseLogNormal(bytes.responseBytes, lengthSpread, getRandom)) + responseBytes,
                abortAfterMs: undefined,
            };
        },
    };
}

/** The kinds of traffic by name. */
export const traffics = { quick: quickTraffic, mailing: createMixedTraffic(mailingMix), records: createMixedTraffic(recordsMix) } as const;

/** The name of a kind of traffic. */
export type TrafficName = keyof typeof traffics;

/** Draws from a log-normal distribution with the given mean and relative spread. */
function chooseLogNormal(mean: number, spread: number, getRandom: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - getRandom())) * Math.cos(2 * Math.PI * getRandom());
    return mean * Math.exp(spread * normal - spread * spread / 2);
}

function chooseManner(drawn: number): Manner {
    let upperBound = 0;
    for (const [manner, fraction] of mannerFractions) {
        upperBound += fraction;
        if (drawn < upperBound) {
            return manner;
        }
    }
    return "prompt";
}

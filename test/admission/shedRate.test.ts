/**
 * Load pattern: a service accepts a part of what one instance sends, some requests a second. Guards against a rate that
 * needs more attempts than an instance has. Compares the additive and multiplicative rule with a gradient of the accepted
 * share, as concurrency limits use it for latencies.
 */

import tap from "tap";
import * as rankTokens from "../../src/admission/rankTokens.js";
import * as shedRate from "../../src/admission/shedRate.js";
import * as randomness from "../../src/kernel/randomness.js";

const initialPart = 0.6;
const shedMs = 8_000;
const stepMs = 5;
const seedCount = 40;
const openingFactor = 1.3;
const maximumOpeningMs = 30_000;

type Rate = Pick<shedRate.ShedRate, "getRatePerS" | "recordAccepted" | "recordShed" | "recordTime">;

/** Scales the rate by the accepted share of each group of attempts, and adds its square root as room to grow. */
class GradientRate implements Rate {
    private accepted = 0;
    private sheds = 0;

    constructor(private ratePerS: number) {}

    getRatePerS = () => this.ratePerS;

    recordTime = () => {};

    recordAccepted(): void {
        this.accepted += 1;
        this.applyGroup();
    }

    recordShed(): void {
        this.sheds += 1;
        this.applyGroup();
    }

    private applyGroup(): void {
        const attempts = this.accepted + this.sheds;
        if (attempts < 8) {
            return;
        }
        const gradient = Math.max(0.5, Math.min(1, this.accepted / attempts / 0.95));
        const target = this.ratePerS * gradient + Math.sqrt(this.ratePerS) * 0.5;
        this.ratePerS = Math.max(0.5, this.ratePerS * 0.5 + target * 0.5);
        this.accepted = 0;
        this.sheds = 0;
    }
}

interface Result {
    /** Accepted requests, as a part of what the service would accept. */
    readonly used: number;
    readonly shed: number;
    /** The time until the limit ends once the service accepts all. */
    readonly openingMs: number;
}

function runRate(createRate: (ratePerS: number, now: number) => Rate, demandPerS: number, acceptedPart: number, hasFleet: boolean, seed: number): Result {
    const { getFraction } = randomness.createSeededRandomness(seed);
    const rate = createRate(demandPerS * initialPart, 0);
    const tokens = new rankTokens.RankTokens([0], 0);
    let capacity = 2;
    let accepted = 0;
    let sheds = 0;
    for (let now = 0;; now += stepMs) {
        const isShedding = now < shedMs;
        if (!isShedding && (rate.getRatePerS() >= demandPerS * openingFactor || now >= shedMs + maximumOpeningMs)) {
            return { used: accepted / ((demandPerS * acceptedPart * shedMs) / 1_000), shed: sheds / (accepted + sheds), openingMs: now - shedMs };
        }
        capacity = Math.min(2, capacity + (demandPerS * acceptedPart * stepMs) / 1_000);
        if (getFraction() >= (demandPerS * stepMs) / 1_000) {
            continue;
        }
        // The fleet's estimates follow the sheds of all instances; two in a hundred are known here while the service sheds.
        rate.recordTime(now, hasFleet ? isShedding ? 0.1 : 0 : undefined);
        if (!tokens.take(0, rate.getRatePerS(), now)) {
            continue;
        }
        if (isShedding && capacity < 1) {
            sheds += 1;
            rate.recordShed();
            continue;
        }
        capacity -= isShedding ? 1 : 0;
        accepted += isShedding ? 1 : 0;
        rate.recordAccepted();
    }
}

void tap.test("the rate that a service accepts from an instance with few requests", async t => {
    const rules: readonly { readonly name: string; readonly hasFleet: boolean; readonly create: (ratePerS: number, now: number) => Rate; }[] = [
        { name: "decrease for each shed, with the fleet's estimates", hasFleet: true, create: (ratePerS, now) => new shedRate.ShedRate(ratePerS, now) },
        { name: "the same without them", hasFleet: false, create: (ratePerS, now) => new shedRate.ShedRate(ratePerS, now) },
        { name: "gradient", hasFleet: false, create: ratePerS => new GradientRate(ratePerS) },
    ];
    for (const { demandPerS, acceptedPart } of [3, 7.5, 14].flatMap(value => [{ demandPerS: value, acceptedPart: 0.5 }, { demandPerS: value, acceptedPart: 0.25 }])) {
        const results = rules.map(({ name, hasFleet, create }) => {
            const runs = Array.from({ length: seedCount }, (_, seed) => runRate(create, demandPerS, acceptedPart, hasFleet, seed + 1));
            const computeMean = (getValue: (result: Result) => number) => runs.reduce((sum, run) => sum + getValue(run), 0) / runs.length;
            return { name, used: computeMean(({ used }) => used), shed: computeMean(({ shed }) => shed), openingMs: computeMean(({ openingMs }) => openingMs) };
        });
        const site = `${demandPerS} requests per second, ${acceptedPart} of them accepted`;
        t.comment(`${site}: ${results.map(({ name, used, shed, openingMs }) => `${name}: used ${used.toFixed(2)}, shed ${shed.toFixed(2)}, open after ${(openingMs / 1_000).toFixed(1)} s`).join("; ")}`);
        const [chosen] = results;
        t.ok(chosen!.used >= 0.7, `${site}: what the service accepts is used`);
        t.ok(chosen!.openingMs <= 4_000, `${site}: the limit ends soon`);
    }
});

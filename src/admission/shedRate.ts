/**
 * Learns the rate at which a service accepts requests while its upstreams shed: a multiplicative decrease for each shed
 * attempt, and an increase that depends on the accepted attempts since and on how many upstreams the fleet takes for
 * failing. An instance alone has too few attempts to tell soon whether the service accepts more.
 */

const millisecondsPerSecond = 1_000;
/** The rate is multiplied by this for each shed attempt. */
const decreaseFactor = 0.85;
/** The relative increase for each attempt that is accepted, times the number accepted since the last shed one. One shed attempt in 20 keeps the rate. */
const increasePerAccepted = 0.0012;
/** The relative increase per second while no upstream is suspected. */
const increasePerS = 0.6;
/** At this share of suspected upstreams, the increase by time ends. Shedding one attempt in 20 makes about a tenth of the upstreams suspects. */
const maximumSuspectShare = 0.15;
/** Without knowledge of the fleet, the rate increases by half of that once this number of attempts in a row was accepted. */
const acceptedRun = 10;
/** The lowest rate, so that some requests find out when the service accepts again. */
const minimumPerS = 0.5;

/** The learnt rate of one service. Times are monotonic milliseconds. */
export class ShedRate {
    private acceptedSinceShed = 0;
    private updatedAt: number;

    /**
     * @param ratePerS - The rate to start from, in requests per second.
     * @param now - The time.
     */
    constructor(private ratePerS: number, now: number) {
        this.ratePerS = Math.max(minimumPerS, ratePerS);
        this.updatedAt = now;
    }

    /** Returns the requests per second that the service is expected to accept from this instance. */
    getRatePerS(): number {
        return this.ratePerS;
    }

    /** Records an attempt that the upstream has accepted. */
    recordAccepted(): void {
        this.acceptedSinceShed += 1;
        this.ratePerS *= 1 + increasePerAccepted * this.acceptedSinceShed;
    }

    /** Records an attempt that the upstream has shed. */
    recordShed(): void {
        this.acceptedSinceShed = 0;
        this.ratePerS = Math.max(minimumPerS, this.ratePerS * decreaseFactor);
    }

    /**
     * Applies the time that has passed.
     * @param suspectShare - The share of the service's upstreams that the fleet takes for failing; undefined if it is not known.
     */
    recordTime(now: number, suspectShare: number | undefined): void {
        const elapsedS = Math.max(0, now - this.updatedAt) / millisecondsPerSecond;
        this.updatedAt = now;
        const roomAlone = this.acceptedSinceShed >= acceptedRun ? 1 / 2 : 0;
        const room = suspectShare === undefined ? roomAlone : Math.max(0, 1 - suspectShare / maximumSuspectShare);
        this.ratePerS *= Math.exp(increasePerS * room * Math.min(1, elapsedS));
    }
}

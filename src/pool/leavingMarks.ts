/** The marks of upstreams that are leaving: what each applies to, and when it ends. Needs no clock, timers or network. */

import { match } from "ts-pattern";

/** How long an upstream is kept out that no directory lists, or whose address belongs to another one, after the last response that showed it. */
const expiringMarkMs = 60_000;
/** How long a mark is kept after its upstream is no longer listed. An outage of the store may remove the entry of an upstream that is still there. */
const unlistedMarkMs = 10_000;
/** The most marks that are kept; the oldest are dropped first. */
const maximumMarks = 10_000;

/** Why an upstream is leaving: it says so itself, or another upstream answers at its address. */
export type LeavingCause = "draining" | "misdirected";

/** A process of an upstream. */
export interface UpstreamProcess {
    readonly service: string;
    readonly upstream: string;
    /** HOST:PORT. */
    readonly address: string;
    /** In milliseconds since the epoch; undefined if it is not known. */
    readonly startedAtMs?: number;
}

/** An upstream in the pool. */
export interface ListedProcess extends UpstreamProcess {
    /** Whether a directory lists it, which drops it once it has left. */
    readonly isDiscovered: boolean;
}

/** A mark on a process of an upstream. Times are in monotonic milliseconds. */
export interface LeavingMark extends UpstreamProcess {
    readonly cause: LeavingCause;
    readonly markedAt: number;
    /** Whether this instance's own requests have shown it. */
    readonly isOwn: boolean;
}

/** Holds one mark for each upstream. A process that drains stays out until a newer one, or the end of its entry, is seen. */
export class LeavingMarks {
    private readonly marks = new Map<string, LeavingMark & { readonly unlistedSince?: number; }>();

    /** Adds a mark, or renews it. Returns whether it is new. */
    addMark(mark: LeavingMark): boolean {
        const key = createKey(mark);
        const previous = this.marks.get(key);
        const isKnown = previous !== undefined && isSameProcess(previous, mark);
        if (isKnown && previous.cause === "draining" && mark.cause === "misdirected") {
            return false;
        }
        this.marks.delete(key);
        this.marks.set(key, { ...mark, isOwn: mark.isOwn || (isKnown && previous.isOwn) });
        this.removeOldest();
        return !isKnown || previous.cause !== mark.cause;
    }

    /** Lists the marks. */
    listMarks(): readonly LeavingMark[] {
        return [...this.marks.values()];
    }

    /**
     * Returns the time until which an upstream is kept out: infinite for the rest of its process, undefined if it is not marked.
     * @param process - The upstream as the pool lists it now.
     */
    getLeavingUntil(process: ListedProcess): number | undefined {
        const mark = this.marks.get(createKey(process));
        return mark === undefined || !isSameProcess(mark, process) ? undefined : computeEnd(mark, process);
    }

    /**
     * Removes the marks that have ended. Returns whether any has.
     * @param findProcess - Returns the upstream that the pool lists under the identifier of a mark.
     */
    removeEnded(findProcess: (mark: UpstreamProcess) => ListedProcess | undefined, now: number): boolean {
        const before = this.marks.size;
        for (const [key, mark] of this.marks) {
            const process = findProcess(mark);
            if (process === undefined) {
                const unlistedSince = mark.unlistedSince ?? now;
                this.marks.set(key, { ...mark, unlistedSince });
                this.removeIf(key, now - unlistedSince >= unlistedMarkMs);
                continue;
            }
            this.marks.set(key, { ...mark, unlistedSince: undefined });
            this.removeIf(key, !isSameProcess(mark, process) || computeEnd(mark, process) <= now);
        }
        return this.marks.size < before;
    }

    private removeIf(key: string, isEnded: boolean): void {
        if (isEnded) {
            this.marks.delete(key);
        }
    }

    private removeOldest(): void {
        const [oldest] = this.marks.size > maximumMarks ? this.marks.keys() : [];
        if (oldest !== undefined) {
            this.marks.delete(oldest);
        }
    }
}

function createKey({ service, upstream }: UpstreamProcess): string {
    return `${service}\0${upstream}`;
}

function isSameProcess(a: UpstreamProcess, b: UpstreamProcess): boolean {
    return a.address === b.address && a.startedAtMs === b.startedAtMs;
}

function computeEnd({ cause, markedAt }: LeavingMark, { isDiscovered }: ListedProcess): number {
    return match({ cause, isDiscovered })
        .with({ cause: "draining", isDiscovered: true }, () => Infinity)
        .with({ cause: "draining", isDiscovered: false }, { cause: "misdirected" }, () => markedAt + expiringMarkMs)
        .exhaustive();
}

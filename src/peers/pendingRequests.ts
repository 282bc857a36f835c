/** Requests to peers that wait for their replies. */

import { err, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";

interface PendingRequest {
    readonly peerId: string;
    readonly resolve: (result: Result<unknown, errors.FleetError>) => void;
    readonly cancelTimer: loop.Cancel;
}

/** Matches replies to requests; each request is resolved once. */
export class PendingRequests {
    private readonly pending = new Map<number, PendingRequest>();
    private nextId = 1;

    constructor(private readonly timers: loop.Loop, private readonly timeoutMs: number) {}

    /**
     * Sends a request and waits for its reply.
     * @param peerId - The peer.
     * @param send - Sends the request with the given identifier; returns whether it was taken.
     */
    addRequest(peerId: string, send: (id: number) => boolean): Promise<Result<unknown, errors.FleetError>> {
        const id = this.nextId;
        this.nextId += 1;
        return new Promise(resolve => {
            const cancelTimer = this.timers.scheduleOnce(this.timeoutMs, () => this.resolveRequest(id, peerId, this.createUnreachableResult(`${peerId} did not answer within ${this.timeoutMs} ms`)));
            this.pending.set(id, { peerId, resolve, cancelTimer });
            if (!send(id)) {
                this.resolveRequest(id, peerId, this.createUnreachableResult(`the link to ${peerId} is closed or full`));
            }
        });
    }

    /**
     * Resolves a request; a late reply, or one from another peer, changes nothing.
     * @param id - The request's identifier.
     * @param peerId - The peer that answered.
     * @param result - The answer.
     */
    resolveRequest(id: number, peerId: string, result: Result<unknown, errors.FleetError>): void {
        const waiting = this.pending.get(id);
        if (waiting === undefined || waiting.peerId !== peerId) {
            return;
        }
        this.pending.delete(id);
        waiting.cancelTimer();
        waiting.resolve(result);
    }

    /**
     * Rejects every request to a peer.
     * @param peerId - The peer whose last link closed.
     */
    rejectPeerRequests(peerId: string): void {
        const ids = [...this.pending].filter(([, waiting]) => waiting.peerId === peerId).map(([id]) => id);
        ids.forEach(id => this.resolveRequest(id, peerId, this.createUnreachableResult(`the link to ${peerId} closed`)));
    }

    private createUnreachableResult(message: string): Result<unknown, errors.FleetError> {
        return err(errors.createError("peerUnreachable", message));
    }
}

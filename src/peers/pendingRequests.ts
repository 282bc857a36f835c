/** Requests to peers that are waiting for a reply. */

import { err, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";

interface PendingRequest {
    readonly peerId: string;
    readonly resolve: (result: Result<unknown, errors.FleetError>) => void;
    readonly cancelTimer: loop.Cancel;
}

/** Matches replies to requests. Each request is resolved exactly once: by a reply, a timeout or the loss of the link. */
export class PendingRequests {
    private readonly pending = new Map<number, PendingRequest>();
    private nextId = 1;

    constructor(private readonly timers: loop.Loop, private readonly timeoutMs: number) {}

    /**
     * Sends a request and waits for its reply; resolves to a `peerUnreachable` error if there is none.
     * @param peerId - The peer's instance identifier.
     * @param send - Sends the request with the given identifier; returns false if it could not be sent.
     */
    addRequest(peerId: string, send: (id: number) => boolean): Promise<Result<unknown, errors.FleetError>> {
        const id = this.nextId;
        this.nextId += 1;
        return new Promise(resolve => {
            const cancelTimer = this.timers.scheduleOnce(this.timeoutMs, () => this.resolveRequest(id, peerId, this.createUnreachableResult(`${peerId} did not reply within ${this.timeoutMs} ms`)));
            this.pending.set(id, { peerId, resolve, cancelTimer });
            if (!send(id)) {
                this.resolveRequest(id, peerId, this.createUnreachableResult(`the link to ${peerId} is closed or its send buffer is full`));
            }
        });
    }

    /**
     * Resolves a request. A reply that comes too late or from another peer is ignored.
     * @param id - The request's identifier.
     * @param peerId - The peer that replied.
     * @param result - The reply's body or an error.
     */
    resolveRequest(id: number, peerId: string, result: Result<unknown, errors.FleetError>): void {
        const request = this.pending.get(id);
        if (request === undefined || request.peerId !== peerId) {
            return;
        }
        this.pending.delete(id);
        request.cancelTimer();
        request.resolve(result);
    }

    /**
     * Resolves every pending request to a peer with an error.
     * @param peerId - The peer whose last open link has closed.
     */
    rejectPeerRequests(peerId: string): void {
        const ids = [...this.pending].filter(([, request]) => request.peerId === peerId).map(([id]) => id);
        ids.forEach(id => this.resolveRequest(id, peerId, this.createUnreachableResult(`the link to ${peerId} closed before a reply arrived`)));
    }

    private createUnreachableResult(message: string): Result<unknown, errors.FleetError> {
        return err(errors.createError("peerUnreachable", message));
    }
}

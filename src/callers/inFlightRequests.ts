/** Keeps the callers' requests in flight, from their headers until their response is written and their order has ended. */

import type * as http from "node:http";
import type * as configuration from "../configuration/index.js";
import type * as clock from "../kernel/clock.js";
import * as writtenBytes from "../kernel/writtenBytes.js";
import * as requests from "../requests/index.js";
import * as responses from "./responses.js";

/** What is known of a request once its headers are valid. */
export interface RequestDetails {
    readonly requestId: string;
    readonly route: configuration.CompiledRoute;
    /** When the request's deadline expires, in monotonic milliseconds. */
    readonly deadlineAt: number;
}

/** How much of a response was written. */
export interface ResponseState {
    /** Whether the operating system has taken any of the response. */
    readonly isHeadPassedOn: boolean;
    /** Bytes that the operating system has taken; undefined once the connection is closed. */
    readonly passedBytes: number | undefined;
    /** Bytes that wait in the process; undefined once the connection is closed. */
    readonly heldBytes: number | undefined;
}

/** A request in flight. */
export class InFlightRequest {
    /** How far the handling of the request has come. */
    readonly progress = new requests.RequestProgress();
    /** Resolves when the response was passed to the operating system completely, or its connection closed. */
    readonly written: Promise<void>;
    /** When the headers were received, in monotonic milliseconds. */
    readonly receivedAt: number;
    private readonly bytesBefore: number;
    private details: RequestDetails | undefined;
    private routed: requests.RoutedRequest | undefined;
    private wholeAt: number | undefined;
    private hasFinished = false;
    private wasAnsweredBeforeRead = false;
    private run: Promise<void> | undefined;

    constructor(private readonly systemClock: clock.Clock, readonly request: http.IncomingMessage, readonly response: http.ServerResponse) {
        this.receivedAt = systemClock.getNow();
        this.bytesBefore = request.socket.bytesWritten;
        // The event also follows the destruction of a connection. Node's own listener may destroy it, so this one comes first.
        response.prependOnceListener("finish", () => {
            this.hasFinished = !request.socket.destroyed;
            this.wasAnsweredBeforeRead = !request.complete;
        });
        this.written = responses.waitUntilWritten(request.socket, response);
    }

    /** Records the result of matching the request to a route. */
    setDetails(details: RequestDetails): void {
        this.details = details;
    }

    /** Records that the whole body was read. */
    setRouted(routed: requests.RoutedRequest): void {
        this.routed = routed;
        this.wholeAt = this.systemClock.getNow();
    }

    /** Records the run of an order, which may go on after its caller was answered. */
    setRun(run: Promise<unknown>): void {
        const finish = () => {
            this.run = undefined;
        };
        this.run = run.then(finish, finish);
    }

    /** Waits until the order of the request, if there is one, has ended. */
    async waitForRun(): Promise<void> {
        await this.run;
    }

    /** Returns whether the order of the request is running. */
    isRunning(): boolean {
        return this.run !== undefined;
    }

    /** Returns the route and deadline; undefined before the headers were checked, and for requests that the instance answers itself. */
    getDetails(): RequestDetails | undefined {
        return this.details;
    }

    /** Returns when the whole request was received, in monotonic milliseconds; undefined before. */
    getWholeAt(): number | undefined {
        return this.wholeAt;
    }

    /** Returns the results of the attempts that have ended. */
    getTrail(): readonly string[] {
        return this.routed?.trail ?? [];
    }

    /** Returns whether the response was passed to the operating system completely. */
    isAnswered(): boolean {
        return this.hasFinished;
    }

    /** Returns whether the response was complete before the request was. */
    isAnsweredBeforeRead(): boolean {
        return this.hasFinished && this.wasAnsweredBeforeRead;
    }

    /** Returns whether the caller still waits for the response. */
    hasCaller(): boolean {
        return !this.response.closed && !this.request.socket.destroyed;
    }

    /** Returns what the request waits for. */
    getWait(): requests.RequestWait {
        if (this.hasCaller() && (this.response.writableEnded || this.response.writableNeedDrain)) {
            return { kind: "callerReading" };
        }
        return this.routed === undefined ? { kind: "callerBody" } : this.progress.getWait();
    }

    /** Returns how much of the response was written. */
    getResponseState(): ResponseState {
        const { request: { socket }, response, bytesBefore } = this;
        if (socket.destroyed) {
            return { isHeadPassedOn: response.headersSent && socket.bytesWritten > bytesBefore, passedBytes: undefined, heldBytes: undefined };
        }
        const { passed, held } = writtenBytes.countWrittenBytes(socket);
        const passedBytes = Math.max(0, passed - bytesBefore);
        return { isHeadPassedOn: response.headersSent && passedBytes > 0, passedBytes, heldBytes: held };
    }
}

/** The callers' requests in flight. */
export class InFlightRequests {
    private readonly inFlight = new Set<InFlightRequest>();
    private unwrittenCount = 0;
    private onWritten: (request: InFlightRequest) => void = () => {};

    constructor(private readonly systemClock: clock.Clock) {}

    /**
     * Sets the listener for responses that were written and for connections that closed before.
     * @param onWritten - Called with the request; its `isAnswered` tells the two apart.
     */
    setWrittenListener(onWritten: (request: InFlightRequest) => void): void {
        this.onWritten = onWritten;
    }

    /** Adds a request whose headers were received. */
    addRequest(request: http.IncomingMessage, response: http.ServerResponse): InFlightRequest {
        const added = new InFlightRequest(this.systemClock, request, response);
        this.inFlight.add(added);
        this.unwrittenCount += 1;
        void added.written.then(() => this.onWritten(added));
        return added;
    }

    /** Removes a request that was handled and whose response is written. If its order goes on, it is listed until that ends. */
    async removeRequest(request: InFlightRequest): Promise<void> {
        this.unwrittenCount -= 1;
        await request.waitForRun();
        this.inFlight.delete(request);
    }

    /** Returns the number of requests that are being handled, or whose response is still being written. */
    countUnwritten(): number {
        return this.unwrittenCount;
    }

    /** Lists the requests in flight, orders that go on without their caller included. */
    listRequests(): readonly InFlightRequest[] {
        return [...this.inFlight];
    }
}

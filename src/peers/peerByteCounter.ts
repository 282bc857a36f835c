/** The metric that counts the bytes on links to peers. */

import * as promClient from "prom-client";

/** Labels beyond this number are counted as one. Topics come from peers, and a metric must not grow with what peers send. */
const maximumLabels = 64;
const otherLabel = "other";

/** Options of a peer byte counter. */
export interface CreatePeerByteCounterOptions {
    readonly registry: promClient.Registry;
    /** The failure domain of this instance. */
    readonly failureDomain: string;
}

/** Counts bytes by direction, by the peer's failure domain and by the label of the message. */
export class PeerByteCounter {
    private readonly counter: promClient.Counter<"direction" | "domain" | "message">;
    private readonly labels = new Set<string>();

    constructor(private readonly options: CreatePeerByteCounterOptions) {
        this.counter = new promClient.Counter({
            name: "agatebend_peer_bytes_total",
            help: "Bytes on links to peers of the own and of other failure domains, by type of message; that of notices, requests and registers includes the topic.",
            labelNames: ["direction", "domain", "message"],
            registers: [options.registry],
        });
    }

    /**
     * Records a frame.
     * @param bytes - Its size including the length prefix.
     * @param peerDomain - The peer's failure domain; undefined before its hello message, which counts as another domain.
     * @param label - The label of its message.
     */
    recordFrame(direction: "sent" | "received", bytes: number, peerDomain: string | undefined, label: string): void {
        if (this.labels.size < maximumLabels) {
            this.labels.add(label);
        }
        this.counter.inc({ direction, domain: peerDomain === this.options.failureDomain ? "own" : "other", message: this.labels.has(label) ? label : otherLabel }, bytes);
    }
}

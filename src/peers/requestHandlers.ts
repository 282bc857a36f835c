/** Dispatches requests from peers to the handlers of their topics. */

import type { Result } from "neverthrow";
import type * as errors from "../kernel/errors.js";
import type * as link from "./link.js";

/** Computes the reply to a peer's request. An error is sent back as a refusal with the error's message. */
export type RequestHandler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;

/** Holds one handler for each topic. */
export class RequestHandlers {
    private readonly handlers = new Map<string, RequestHandler>();

    /**
     * Sets the handler of a topic, replacing any earlier one.
     * @param topic - The topic.
     * @param handler - Computes the reply.
     */
    setHandler(topic: string, handler: RequestHandler): void {
        this.handlers.set(topic, handler);
    }

    /**
     * Sends the handler's reply to a request on the link that it was received on, or a refusal if its topic has no handler.
     * @param peerLink - The link.
     * @param request - The request; the peer chose its `id`, which the reply contains.
     */
    async answerRequest(peerLink: link.PeerLink, { id, topic, body }: { readonly id: number; readonly topic: string; readonly body: unknown; }): Promise<void> {
        const handler = this.handlers.get(topic);
        if (handler === undefined) {
            peerLink.sendMessage({ type: "refusal", id, message: `no handler for the topic ${topic}` });
            return;
        }
        const result = await handler(body, peerLink.getPeer()!.instanceId);
        peerLink.sendMessage(result.isOk() ? { type: "reply", id, body: result.value } : { type: "refusal", id, message: result.error.message });
    }
}

/** Answers peers' requests by their topics. */

import type { Result } from "neverthrow";
import type * as errors from "../kernel/errors.js";
import type * as link from "./link.js";

/** Answers a peer's request. */
export type RequestHandler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;

/** The handlers of one instance. */
export class RequestHandlers {
    private readonly handlers = new Map<string, RequestHandler>();

    /**
     * Sets the handler of a topic.
     * @param topic - The topic.
     * @param handler - The answer's source.
     */
    setHandler(topic: string, handler: RequestHandler): void {
        this.handlers.set(topic, handler);
    }

    /**
     * Answers a request on the link that it came by.
     * @param from - The link.
     * @param request - The request's identifier there, its topic and its body.
     */
    async answerRequest(from: link.PeerLink, { id, topic, body }: { readonly id: number; readonly topic: string; readonly body: unknown; }): Promise<void> {
        const handler = this.handlers.get(topic);
        if (handler === undefined) {
            from.sendMessage({ type: "refusal", id, message: `no handler for the topic ${topic}` });
            return;
        }
        const answer = await handler(body, from.getPeer()!.instanceId);
        from.sendMessage(answer.isOk() ? { type: "reply", id, body: answer.value } : { type: "refusal", id, message: answer.error.message });
    }
}

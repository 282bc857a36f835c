/** Reads a complete response of an upstream or of another instance into memory. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as headers from "./headers.js";
import type * as types from "./types.js";

/** Why a response could not be read: it was truncated or stalled, or its body exceeds the limit. */
export type ReadFailure = "broken" | "tooLarge";

/** Options of reading a response. */
export interface ReadResponseOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    /** The size limit of the body. */
    readonly maximumBytes: number;
}

/** Reads a response body until its end. A pause longer than the setting `bodyIdleTimeoutMs` counts as broken. */
export function readResponse(options: ReadResponseOptions): Promise<Result<types.BufferedResponse, ReadFailure>> {
    const { response, maximumBytes, context: { loop, settings } } = options;
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        let cancelIdleTimer = () => {};
        const finish = (result: Result<types.BufferedResponse, ReadFailure>) => {
            cancelIdleTimer();
            if (result.isErr()) {
                response.destroy();
            }
            resolve(result);
        };
        const startIdleTimer = () => {
            cancelIdleTimer();
            cancelIdleTimer = loop.scheduleOnce(settings.bodyIdleTimeoutMs, () => finish(err("broken")));
        };
        response.on("error", () => finish(err("broken")));
        response.on("close", () => finish(err("broken")));
        response.on("data", (chunk: Buffer) => {
            startIdleTimer();
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maximumBytes) {
                finish(err("tooLarge"));
            }
        });
        response.on("end", () => {
            finish(
                responseIntegrity.isComplete(response)
                    ? ok({
                        status: response.statusCode ?? 502,
                        rawHeaders: headers.listEndToEndHeaders(response.rawHeaders, ["content-length"]),
                        body: Buffer.concat(chunks),
                    })
                    : err("broken"),
            );
        });
        startIdleTimer();
    });
}

/** The client side of the operators' port. */

import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";

/** The longest wait for a plain page, in milliseconds. */
const pageTimeoutMs = 10_000;

/** Options that every client command has. */
export interface ClientOptions {
    /** The operators' address of an instance, as HOST:PORT. */
    readonly operator: string;
    /** A file with the shared secret; empty for none. */
    readonly secretFile: string;
    /** PEM certificates that the operators' port is signed by; empty for plain HTTP. */
    readonly tlsAuthorityFile: string;
    /** Whether to print JSON for programs. */
    readonly json: boolean;
}

/** A client of one instance. */
export interface OperatorClient {
    readonly rpc: Client<typeof operatorPb.OperatorService>;
    /** Reads a JSON page. */
    readonly readJsonDocument: (path: string) => Promise<Result<unknown, errors.FleetError>>;
}

/**
 * Creates a client.
 * @param options - Where the instance is and what it must be shown.
 */
export function createOperatorClient(options: ClientOptions): OperatorClient {
    const secret = options.secretFile === "" ? "" : fs.readFileSync(options.secretFile, "utf8").trim();
    const ca = options.tlsAuthorityFile === "" ? undefined : fs.readFileSync(options.tlsAuthorityFile);
    const baseUrl = `${ca === undefined ? "http" : "https"}://${options.operator}`;
    const transport = createConnectTransport({
        baseUrl,
        httpVersion: "1.1",
        nodeOptions: ca === undefined ? {} : { ca },
        interceptors: [next => request => {
            if (secret !== "") {
                request.header.set("authorization", `Bearer ${secret}`);
            }
            return next(request);
        }],
    });
    const headers = secret === "" ? {} : { authorization: `Bearer ${secret}` };
    return {
        rpc: createClient(operatorPb.OperatorService, transport),
        readJsonDocument: path => readPage(`${baseUrl}${path}`, { headers, ca, timeout: pageTimeoutMs }),
    };
}

/**
 * Calls an instance and turns a failure into an error.
 * @param call - The call.
 */
export async function runRpcCall<T>(call: () => Promise<T>): Promise<Result<T, errors.FleetError>> {
    try {
        return ok(await call());
    }
    catch (thrown) {
        const failure = ConnectError.from(thrown);
        const named = failure.metadata.get("x-agatebend-error") ?? "";
        const kind = Object.hasOwn(errors.errorDefinitions, named) ? named as errors.ErrorKind : "peerUnreachable";
        return err(errors.createError(kind, failure.rawMessage));
    }
}

function readPage(url: string, options: https.RequestOptions): Promise<Result<unknown, errors.FleetError>> {
    return new Promise(resolve => {
        const reject = (reason: string) => resolve(err(errors.createError("peerUnreachable", `${url}: ${reason}`)));
        const transport = url.startsWith("https:") ? https : http;
        const sent = transport.get(url, options, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => {
                text += chunk;
            });
            response.on("error", error => reject(errors.getErrorMessage(error)));
            response.on("end", () => {
                if (response.statusCode !== 200) {
                    reject(`status ${response.statusCode}: ${text.trim()}`);
                    return;
                }
                resolve(ok(JSON.parse(text) as unknown));
            });
        });
        sent.on("timeout", () => sent.destroy(new Error(`no answer within ${pageTimeoutMs} ms`)));
        sent.on("error", error => reject(errors.getErrorMessage(error)));
    });
}

/** A client for the operator port of an instance. */

import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";

/** How long a connection may be idle while a JSON document is read, in milliseconds. */
const documentTimeoutMs = 10_000;

/** Options that all client commands share. */
export interface ClientOptions {
    /** The operator address of an instance, as HOST:PORT. */
    readonly operator: string;
    /** The path of a file with the shared secret; empty for none. */
    readonly secretFile: string;
    /** The path of the PEM certificates of the authority that signed the port's certificate; empty for plain HTTP. */
    readonly tlsAuthorityFile: string;
    /** Whether to print JSON instead of text. */
    readonly json: boolean;
}

/** A client of one instance. */
export interface OperatorClient {
    readonly rpc: Client<typeof operatorPb.OperatorService>;
    /** Reads the JSON document at a path, such as `/dump`. */
    readonly readJsonDocument: (path: string) => Promise<Result<unknown, errors.FleetError>>;
}

/**
 * Creates a client of one instance.
 * @param options - The instance's address and the credentials.
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
        readJsonDocument: path => readJsonDocument(`${baseUrl}${path}`, { headers, ca, timeout: documentTimeoutMs }),
    };
}

/**
 * Runs an RPC call and converts its exceptions to errors. Failures that carry no error kind, such as lost connections,
 * become `peerUnreachable`.
 * @param call - Sends the call.
 */
export async function runRpcCall<T>(call: () => Promise<T>): Promise<Result<T, errors.FleetError>> {
    try {
        return ok(await call());
    }
    catch (thrown) {
        const connectError = ConnectError.from(thrown);
        const errorKind = connectError.metadata.get("x-agatebend-error") ?? "";
        const kind = Object.hasOwn(errors.errorDefinitions, errorKind) ? errorKind as errors.ErrorKind : "peerUnreachable";
        return err(errors.createError(kind, connectError.rawMessage));
    }
}

function readJsonDocument(url: string, options: https.RequestOptions): Promise<Result<unknown, errors.FleetError>> {
    return new Promise(resolve => {
        const reject = (reason: string) => resolve(err(errors.createError("peerUnreachable", `${url}: ${reason}`)));
        const transport = url.startsWith("https:") ? https : http;
        const request = transport.get(url, options, response => {
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
        request.on("timeout", () => request.destroy(new Error(`no response within ${documentTimeoutMs} ms`)));
        request.on("error", error => reject(errors.getErrorMessage(error)));
    });
}

/** The operators' RPC as a listener of an HTTP server. */

import type * as http from "node:http";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";
import * as operatorService from "./operatorService.js";

/**
 * Creates the listener.
 * @param options - The services that the calls use.
 * @param maximumBytes - The largest message.
 */
export function createRpcAdapter(options: operatorService.CreateOperatorServiceOptions, maximumBytes: number): http.RequestListener {
    const service = new operatorService.OperatorService(options);
    return connectNodeAdapter({
        routes: router => router.service(operatorPb.OperatorService, service.getImplementation()),
        readMaxBytes: maximumBytes,
        jsonOptions: { ignoreUnknownFields: false },
    });
}

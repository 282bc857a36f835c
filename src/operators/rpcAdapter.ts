/** Serves the RPC for operators through the HTTP server of Node.js. */

import type * as http from "node:http";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";
import * as operatorService from "./operatorService.js";

/**
 * Creates a request listener that answers RPC calls.
 * @param options - The services that the calls use.
 * @param maximumBytes - The maximum size of a message.
 */
export function createRpcAdapter(options: operatorService.CreateOperatorServiceOptions, maximumBytes: number): http.RequestListener {
    const service = new operatorService.OperatorService(options);
    return connectNodeAdapter({
        routes: router => router.service(operatorPb.OperatorService, service.getImplementation()),
        readMaxBytes: maximumBytes,
        jsonOptions: { ignoreUnknownFields: false },
    });
}

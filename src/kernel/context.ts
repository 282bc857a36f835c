/** The objects that the kernel passes to every plug-in. */

import type * as promClient from "prom-client";
import type * as settings from "../settings/index.js";
import type * as clock from "./clock.js";
import type * as events from "./events.js";
import type * as heldBytes from "./heldBytes.js";
import type * as logger from "./logger.js";
import type * as loop from "./loop.js";
import type * as randomness from "./randomness.js";
import type * as serviceRegistry from "./serviceRegistry.js";

/** Identifies this process within the fleet. */
export interface Identity {
    readonly instanceId: string;
    /** Start time in milliseconds since the Unix epoch; greater after each restart of the same instance. */
    readonly incarnation: number;
    readonly failureDomain: string;
}

/** The objects that all plug-ins of the process share. */
export interface Context {
    readonly settings: settings.ServeSettings;
    readonly identity: Identity;
    readonly clock: clock.Clock;
    readonly randomness: randomness.Randomness;
    readonly logger: logger.Logger;
    readonly loop: loop.Loop;
    readonly metrics: promClient.Registry;
    readonly services: serviceRegistry.ServiceRegistry;
    readonly eventLog: events.EventLog;
    readonly heldBytes: heldBytes.HeldBytes;
}

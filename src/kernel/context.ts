/** What the kernel hands to every plug-in. */

import type * as promClient from "prom-client";
import type * as settings from "../settings/index.js";
import type * as clock from "./clock.js";
import type * as events from "./events.js";
import type * as logger from "./logger.js";
import type * as loop from "./loop.js";
import type * as randomness from "./randomness.js";
import type * as serviceRegistry from "./serviceRegistry.js";

/** Who this process is in the fleet. */
export interface Identity {
    /** The instance's identifier. */
    readonly instanceId: string;
    /** Milliseconds since the epoch at start; a later start of the same identifier is greater. */
    readonly incarnation: number;
    /** The instance's failure domain. */
    readonly failureDomain: string;
}

/** The shared objects of one process. */
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
}

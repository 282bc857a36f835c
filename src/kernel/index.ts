/** The kernel: clock, timers, logging, plug-ins, lifecycle and errors. */

export * as bodyBuffer from "./bodyBuffer.js";
export * as clock from "./clock.js";
export type { Context, Identity } from "./context.js";
export * as errors from "./errors.js";
export * as framingCheck from "./framingCheck.js";
export * as heldBytes from "./heldBytes.js";
export * as httpConnections from "./httpConnections.js";
export { Kernel, type Lifecycle, lifecycleKey, type LifecycleState } from "./kernel.js";
export * as logger from "./logger.js";
export * as loop from "./loop.js";
export * as plugins from "./plugins.js";
export * as randomness from "./randomness.js";
export * as serviceRegistry from "./serviceRegistry.js";

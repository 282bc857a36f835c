/** Catches signals from the first line of the program on, and keeps each one until the command has a handler for it. */

const caughtSignals = ["SIGTERM", "SIGINT", "SIGHUP"] as const;
/** A signal that is caught. */
export type CaughtSignal = (typeof caughtSignals)[number];

interface SignalState {
    readonly pending: Set<CaughtSignal>;
    readonly handlers: Map<CaughtSignal, () => void>;
}

/** The launcher and the program are separate bundles, each with its own copy of this module, so they share the state by a global symbol. */
const stateKey = Symbol.for("agatebend.signals");
const globals = globalThis as { [stateKey]?: SignalState; };

/** Starts to catch signals. Further calls do nothing. */
export function startCatching(): void {
    getState();
}

/**
 * Sets the handler of a signal and calls it if the signal came before.
 * @param signal - The signal.
 * @param handler - Replaces an earlier handler of the signal.
 */
export function setHandler(signal: CaughtSignal, handler: () => void): void {
    const { pending, handlers } = getState();
    handlers.set(signal, handler);
    if (pending.delete(signal)) {
        handler();
    }
}

/** Waits until the handlers of the signals that have arrived were called, also of those that came while the process was busy. */
export function waitUntilHandled(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function getState(): SignalState {
    globals[stateKey] ??= createState();
    return globals[stateKey];
}

function createState(): SignalState {
    const state: SignalState = { pending: new Set(), handlers: new Map() };
    for (const signal of caughtSignals) {
        process.on(signal, () => {
            const handler = state.handlers.get(signal);
            if (handler === undefined) {
                state.pending.add(signal);
                return;
            }
            handler();
        });
    }
    return state;
}

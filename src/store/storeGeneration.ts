/** The generation of the store's contents. It rises whenever the store returns with an older copy of them. */

/** Called after a generation was learned; `previous` is undefined for the first one, and otherwise the one that is gone. */
export type GenerationListener = (generation: number, previous: number | undefined) => void;

/** How the generation of a response relates to the one that is known. */
export type GenerationOrder = "same" | "newer" | "older";

/**
 * Learns the generation from the store's responses.
 * @remarks Revisions and leases are given out again after the store returned with an older copy, so that they have a
 * meaning within one generation only.
 */
export class StoreGeneration {
    private current: number | undefined;
    private readonly listeners: GenerationListener[] = [];

    /** Returns the newest known generation; undefined before the first response, and for a store that does not tell it. */
    getCurrent(): number | undefined {
        return this.current;
    }

    /** Calls a listener for each generation that is learned, before the response that tells it is used. */
    addListener(listener: GenerationListener): void {
        this.listeners.push(listener);
    }

    /**
     * Records the generation of a response before the response is used.
     * @param generation - The generation; undefined if the response does not tell it.
     */
    recordGeneration(generation: number | undefined): GenerationOrder {
        const previous = this.current;
        if (generation === undefined || generation === previous) {
            return "same";
        }
        if (previous !== undefined && generation < previous) {
            return "older";
        }
        this.current = generation;
        this.listeners.forEach(listener => listener(generation, previous));
        return previous === undefined ? "same" : "newer";
    }
}

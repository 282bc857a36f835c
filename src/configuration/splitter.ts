/** Divides the requests of split routes between their parts, exactly in proportion to the weights. */

import type * as randomness from "../kernel/randomness.js";
import type * as compiled from "./compiled.js";

/**
 * Chooses parts by smooth weighted round robin: each request credits every part with its weight and goes to the part
 * with the most credit, which pays the sum of the weights.
 */
export class Splitter {
    private readonly credits = new WeakMap<compiled.CompiledRoute, number[]>();

    constructor(private readonly random: randomness.Randomness) {}

    /**
     * Returns the route to the part whose turn it is; a route that is not split is returned as it is.
     * @param route - The route.
     */
    chooseRoute(route: compiled.CompiledRoute): compiled.CompiledRoute {
        if (route.parts.length === 0) {
            return route;
        }
        const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
        const credits = this.credits.get(route) ?? this.createCredits(route, total);
        route.parts.forEach(({ weight }, index) => {
            credits[index]! += weight;
        });
        const chosen = credits.indexOf(Math.max(...credits));
        credits[chosen]! -= total;
        return route.parts[chosen]!.route;
    }

    /** Begins at a random place of the round, so that the instances of a fleet do not all begin with the same part. */
    private createCredits(route: compiled.CompiledRoute, total: number): number[] {
        const credits = route.parts.map(() => this.random.getFraction() * total);
        this.credits.set(route, credits);
        return credits;
    }
}

/** Divides the requests of split routes between their parts, exactly in proportion to the weights. */

import type * as randomness from "../kernel/randomness.js";
import type * as compiledConfiguration from "./compiledConfiguration.js";

/**
 * Chooses parts by smooth weighted round robin: each request credits every part with its weight and goes to the part
 * with the most credit, which pays the sum of the weights.
 */
export class RouteSplitter {
    private readonly credits = new WeakMap<compiledConfiguration.CompiledRoute, number[]>();

    constructor(private readonly random: randomness.Randomness) {}

    /**
     * Returns the route to the part whose turn it is; a route that is not split is returned as it is.
     * @param route - The route.
     */
    chooseRoute(route: compiledConfiguration.CompiledRoute): compiledConfiguration.CompiledRoute {
        if (route.splitTargets.length === 0) {
            return route;
        }
        const total = route.splitTargets.reduce((sum, { weight }) => sum + weight, 0);
        const credits = this.credits.get(route) ?? this.createCredits(route, total);
        route.splitTargets.forEach(({ weight }, index) => {
            credits[index]! += weight;
        });
        const chosen = credits.indexOf(Math.max(...credits));
        credits[chosen]! -= total;
        return route.splitTargets[chosen]!.route;
    }

    /** Begins at a random place of the round, so that the instances of a fleet do not all begin with the same part. */
    private createCredits(route: compiledConfiguration.CompiledRoute, total: number): number[] {
        const credits = route.splitTargets.map(() => this.random.getFraction() * total);
        this.credits.set(route, credits);
        return credits;
    }
}

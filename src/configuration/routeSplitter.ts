/** Distributes the requests of split routes over the services of the split, in exact proportion to the weights. */

import type * as randomness from "../kernel/randomness.js";
import type * as compiledConfiguration from "./compiledConfiguration.js";

/**
 * Chooses the service of a request by smooth weighted round robin. Each request adds every target's weight to its credit,
 * goes to the target with the most credit, and subtracts the sum of the weights from that target's credit.
 */
export class RouteSplitter {
    private readonly credits = new WeakMap<compiledConfiguration.CompiledRoute, number[]>();

    constructor(private readonly random: randomness.Randomness) {}

    /** Returns the route to the target that is next; a route that is not split is returned unchanged. */
    chooseRoute(route: compiledConfiguration.CompiledRoute): compiledConfiguration.CompiledRoute {
        if (route.splitTargets.length === 0) {
            return route;
        }
        const totalWeight = route.splitTargets.reduce((sum, { weight }) => sum + weight, 0);
        const credits = this.credits.get(route) ?? this.createCredits(route, totalWeight);
        route.splitTargets.forEach(({ weight }, index) => {
            credits[index]! += weight;
        });
        const chosen = credits.indexOf(Math.max(...credits));
        credits[chosen]! -= totalWeight;
        return route.splitTargets[chosen]!.route;
    }

    /** Starts with random credits, so that the instances of a fleet do not all start with the same target. */
    private createCredits(route: compiledConfiguration.CompiledRoute, totalWeight: number): number[] {
        const credits = route.splitTargets.map(() => this.random.getFraction() * totalWeight);
        this.credits.set(route, credits);
        return credits;
    }
}

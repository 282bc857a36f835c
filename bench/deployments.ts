/** The sizes of the users' two deployments, and their emulation with small stand-ins for benchmarks. */

import * as fleet from "../test/harness/fleet.js";
import type * as processes from "../test/harness/processes.js";
import * as standIns from "../test/harness/standIns.js";

/** One service of a deployment and the fleet of instances in front of it. */
export interface Deployment {
    readonly name: string;
    readonly instances: number;
    readonly domains: readonly string[];
    readonly upstreams: number;
    readonly slots: number;
    readonly floor: number;
}

/** The deployments that benchmarks emulate. */
export const deployments = {
    quillen: { name: "Quillén, suscripciones", instances: 13, domains: ["concepcion", "talcahuano", "chillan"], upstreams: 14, slots: 3, floor: 10 },
    ashby: { name: "Ashby, branch-desk", instances: 17, domains: ["derby", "leicester", "nottingham"], upstreams: 20, slots: 2, floor: 15 },
} as const satisfies Record<string, Deployment>;

/** The ranks used in benchmarks, the most urgent first. */
export const ranks = [{ name: "urgent", guaranteedShare: 0.4 }, { name: "normal", guaranteedShare: 0.2 }, { name: "bulk", guaranteedShare: 0.1 }] as const;

/** A running deployment. */
export interface RunningDeployment {
    readonly instances: readonly fleet.Instance[];
    readonly upstreams: readonly standIns.StandIn[];
    readonly store: standIns.StandIn;
    readonly stop: () => Promise<void>;
}

/** Starts a deployment and waits until the instances that decide on ejections may eject upstreams. */
export async function startDeployment(deployment: Deployment, options: { readonly serviceMs: number; readonly deadlineMs: number; readonly flags?: Readonly<Record<string, string | number>>; }): Promise<RunningDeployment> {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(deployment.upstreams);
    await Promise.all(upstreams.map(started => started.setBehaviour({ serviceMs: options.serviceMs, slots: deployment.slots })));
    const domains = Array.from({ length: deployment.instances }, (_, index) => deployment.domains[index % deployment.domains.length]!);
    const instances = await fleet.startFleet(domains, `http://${store.getAddress()}`, options.flags);
    await fleet.applyConfiguration(instances[0]!, createDocument(deployment, upstreams, options.deadlineMs));
    await new Promise(resolve => setTimeout(resolve, 5_000));
    const started: readonly processes.TestProcess[] = [store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)];
    return { instances, upstreams, store, stop: async () => void await Promise.all(started.map(process => process.stop())) };
}

/** Creates the configuration of a deployment's service, with a route for each rank. */
export function createDocument(deployment: Deployment, upstreams: readonly standIns.StandIn[], deadlineMs: number) {
    return {
        ranks,
        services: {
            main: {
                upstreams: upstreams.map((started, index) => ({ id: `u${index}`, address: started.getAddress(), failureDomain: deployment.domains[index % deployment.domains.length] })),
                slots: deployment.slots,
                connections: 330,
                floor: deployment.floor,
            },
        },
        routes: ranks.map(({ name }) => ({ name, service: "main", rank: name, methods: ["GET"], pathPrefix: `/${name}`, repeatable: true, deadlineMs })),
    };
}

/** The commands that show one instance or the whole fleet: dump and watch. */

import { z } from "zod";
import * as operatorClient from "./operatorClient.js";
import * as output from "./output.js";

/** Milliseconds between two looks at the events. */
const lookIntervalMs = 500;

const eventsSchema = z.object({
    instance: z.string(),
    events: z.array(z.object({ sequence: z.number(), wallTimeMs: z.number(), level: z.string(), event: z.string(), message: z.string() })),
});
const membersSchema = z.object({ peers: z.object({ members: z.array(z.object({ operatorAddress: z.string(), state: z.string() })) }) });

/** Options of dump and watch. */
export interface InspectionOptions extends operatorClient.ClientOptions {
    /** Whether to ask every member that the instance knows. */
    readonly all: boolean;
}

/**
 * Prints the state of one instance or of all.
 * @param options - The client's options.
 */
export async function runDump(options: InspectionOptions): Promise<void> {
    const dumps: unknown[] = [];
    for (const address of await listAddresses(options)) {
        const page = await operatorClient.createOperatorClient({ ...options, operator: address }).readJsonDocument("/dump");
        page.match(dump => dumps.push(dump), error => output.printError(error, options.json));
    }
    if (dumps.length > 0) {
        output.printJson(options.all ? dumps : dumps[0]);
    }
}

/**
 * Prints the events of one instance or of all, a line each, until it is interrupted.
 * @param options - The client's options, and for how long to watch in milliseconds; 0 has no end.
 */
export async function runWatch(options: InspectionOptions & { readonly forMs: number; }): Promise<void> {
    const seen = new Map<string, number>();
    const until = options.forMs === 0 ? Infinity : performance.now() + options.forMs;
    let addresses = await listAddresses(options);
    while (performance.now() < until) {
        for (const address of addresses) {
            await printEvents(options, address, seen);
        }
        await new Promise(resolve => setTimeout(resolve, lookIntervalMs));
        addresses = options.all ? await listAddresses(options) : addresses;
    }
}

async function printEvents(options: InspectionOptions, address: string, seen: Map<string, number>): Promise<void> {
    const after = seen.get(address) ?? 0;
    const page = await operatorClient.createOperatorClient({ ...options, operator: address }).readJsonDocument(`/events?after=${after}`);
    if (page.isErr()) {
        if (!options.all) {
            output.printError(page.error, options.json);
        }
        return;
    }
    const { instance, events } = eventsSchema.parse(page.value);
    for (const record of events) {
        seen.set(address, record.sequence);
        const time = new Date(record.wallTimeMs).toISOString();
        process.stdout.write(options.json ? `${JSON.stringify({ instance, ...record })}\n` : `${time} ${instance} ${record.level} ${record.event}: ${record.message}\n`);
    }
}

async function listAddresses(options: InspectionOptions): Promise<readonly string[]> {
    if (!options.all) {
        return [options.operator];
    }
    const page = await operatorClient.createOperatorClient(options).readJsonDocument("/dump");
    if (page.isErr()) {
        output.printError(page.error, options.json);
        return [options.operator];
    }
    const { peers } = membersSchema.parse(page.value);
    return peers.members.filter(member => member.operatorAddress !== "" && member.state !== "suspect").map(member => member.operatorAddress);
}

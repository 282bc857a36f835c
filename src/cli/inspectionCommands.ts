/** The `dump` and `watch` commands, which show the state and the events of one instance or of all. */

import * as z from "zod";
import * as operatorClient from "./operatorClient.js";
import * as output from "./output.js";

/** How often instances are asked for new events, in milliseconds. */
const pollIntervalMs = 500;

const eventsSchema = z.object({
    instance: z.string(),
    events: z.array(z.object({ sequence: z.number(), wallTimeMs: z.number(), level: z.string(), event: z.string(), message: z.string() })),
});
const memberDumpSchema = z.object({ peers: z.object({ members: z.array(z.object({ operatorAddress: z.string(), state: z.string() })) }) });

/** Options of the `dump` and `watch` commands. */
export interface InspectionOptions extends operatorClient.ClientOptions {
    /** Whether to ask every instance that the given instance knows. */
    readonly all: boolean;
}

/**
 * Prints the state of one instance or of all as JSON.
 * @param options - The client's options.
 */
export async function runDump(options: InspectionOptions): Promise<void> {
    const dumps: unknown[] = [];
    for (const address of await listOperatorAddresses(options)) {
        const response = await operatorClient.createOperatorClient({ ...options, operator: address }).readJsonDocument("/dump");
        response.match(dump => dumps.push(dump), error => output.printError(error, options.json));
    }
    if (dumps.length > 0) {
        output.printJson(options.all ? dumps : dumps[0]);
    }
}

/**
 * Prints the events of one instance or of all, one per line, as they occur.
 * @param options - The client's options, and how long to watch in milliseconds; 0 watches until interrupted.
 */
export async function runWatch(options: InspectionOptions & { readonly forMs: number; }): Promise<void> {
    const lastSequenceByAddress = new Map<string, number>();
    const endAt = options.forMs === 0 ? Infinity : performance.now() + options.forMs;
    let addresses = await listOperatorAddresses(options);
    while (performance.now() < endAt) {
        for (const address of addresses) {
            await printEvents(options, address, lastSequenceByAddress);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        addresses = options.all ? await listOperatorAddresses(options) : addresses;
    }
}

async function printEvents(options: InspectionOptions, address: string, lastSequenceByAddress: Map<string, number>): Promise<void> {
    const after = lastSequenceByAddress.get(address) ?? 0;
    const response = await operatorClient.createOperatorClient({ ...options, operator: address }).readJsonDocument(`/events?after=${after}`);
    if (response.isErr()) {
        if (!options.all) {
            output.printError(response.error, options.json);
        }
        return;
    }
    const { instance, events } = eventsSchema.parse(response.value);
    for (const record of events) {
        lastSequenceByAddress.set(address, record.sequence);
        const time = new Date(record.wallTimeMs).toISOString();
        process.stdout.write(options.json ? `${JSON.stringify({ instance, ...record })}\n` : `${time} ${instance} ${record.level} ${record.event}: ${record.message}\n`);
    }
}

async function listOperatorAddresses(options: InspectionOptions): Promise<readonly string[]> {
    if (!options.all) {
        return [options.operator];
    }
    const response = await operatorClient.createOperatorClient(options).readJsonDocument("/dump");
    if (response.isErr()) {
        output.printError(response.error, options.json);
        return [options.operator];
    }
    const { peers } = memberDumpSchema.parse(response.value);
    return peers.members.filter(member => member.operatorAddress !== "" && member.state !== "suspect").map(member => member.operatorAddress);
}

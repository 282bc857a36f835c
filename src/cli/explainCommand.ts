/** The command that tells one request's story from the logs of several instances. */

import * as fs from "node:fs";
import { z } from "zod";
import * as exitStatus from "./exitStatus.js";

/** How long before a request's line a change of belief still counts as its background, in milliseconds. */
const backgroundMs = 5_000;

const lineSchema = z.object({
    time: z.number(),
    message: z.string(),
    context: z.looseObject({ event: z.string(), instance: z.string().default(""), requestId: z.string().optional(), service: z.string().optional(), upstream: z.string().optional(), trail: z.string().optional() }),
});

type LogLine = z.infer<typeof lineSchema>;

/** What a request's story is made of. */
export interface RequestTimeline {
    /** The lines that name the request, in order. */
    readonly requestLines: readonly LogLine[];
    /** What the instances came to believe shortly before, of the upstreams that the request was sent to. */
    readonly relatedLines: readonly LogLine[];
}

/**
 * Finds a request's story.
 * @param texts - The logs of several instances.
 * @param requestId - The request.
 */
export function findRequestTimeline(texts: readonly string[], requestId: string): RequestTimeline {
    const all = texts.flatMap(text => text.split("\n").flatMap(line => parseLine(line) ?? [])).sort((a, b) => a.time - b.time);
    const lines = all.filter(line => line.context.requestId === requestId);
    const last = lines.at(-1);
    if (last === undefined) {
        return { requestLines: lines, relatedLines: [] };
    }
    const instances = new Set(lines.map(line => line.context.instance));
    const tried = new Set(lines.flatMap(line => [...(line.context.trail ?? "").matchAll(/\[(\S+) \(/g)].map(found => found[1])));
    const services = new Set(lines.map(line => line.context.service));
    const background = all.filter(line => {
        const isNear = line.time <= last.time && line.time >= last.time - backgroundMs && line.context.requestId === undefined;
        const isAboutTried = line.context.upstream !== undefined && (tried.size === 0 ? services.has(line.context.service) : tried.has(line.context.upstream));
        const isAboutInstance = line.context.upstream === undefined && /^(store|configuration|directory|settings|instance|peer|member|log)-/.test(line.context.event);
        return isNear && instances.has(line.context.instance) && (isAboutTried || isAboutInstance);
    });
    return { requestLines: lines, relatedLines: background };
}

/**
 * Prints a request's story.
 * @param options - The request's identifier and the log files.
 */
export function runExplain(options: { readonly request: string; readonly files: readonly string[]; }): void {
    const texts = options.files.map(file => fs.readFileSync(file, "utf8"));
    const { requestLines: lines, relatedLines: background } = findRequestTimeline(texts, options.request);
    if (lines.length === 0) {
        process.stderr.write(`agatebend: no line names the request ${options.request}; one of 16 requests that end well is logged, and every other\n`);
        process.exitCode = exitStatus.exitStatus.failure;
        return;
    }
    for (const line of [...background, ...lines]) {
        process.stdout.write(`${formatLine(line)}\n`);
    }
}

function parseLine(line: string): LogLine | undefined {
    try {
        return lineSchema.safeParse(JSON.parse(line)).data;
    }
    catch {
        return undefined;
    }
}

function formatLine({ time, message, context: { event, instance, trail, ...values } }: LogLine): string {
    const hidden = new Set(["application", "failureDomain", "logLevel"]);
    const rest = Object.entries(values).filter(([name, value]) => !hidden.has(name) && value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
    const attempts = trail === undefined || trail === "" ? [] : trail.split("] [").map(attempt => `\n    attempt: ${attempt.replace(/^\[|\]$/g, "")}`);
    return `${new Date(time).toISOString()} ${instance} ${event}: ${message} ${rest.join(" ")}${attempts.join("")}`;
}

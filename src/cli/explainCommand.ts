/** The `explain` command, which finds the lines about one request in the logs of several instances. */

import * as fs from "node:fs";
import * as z from "zod";
import * as exitStatus from "./exitStatus.js";

/** How long before the request's last line an event still counts as related to it, in milliseconds. */
const relatedWindowMs = 5_000;

const logLineSchema = z.object({
    time: z.number(),
    message: z.string(),
    context: z.looseObject({
        event: z.string(),
        instance: z.string().default(""),
        requestId: z.string().optional(),
        requestIds: z.string().optional(),
        service: z.string().optional(),
        upstream: z.string().optional(),
        trail: z.string().optional(),
    }),
});

type LogLine = z.infer<typeof logLineSchema>;

/** The log lines that explain one request. */
export interface RequestTimeline {
    /** The lines that name the request, in order of time. */
    readonly requestLines: readonly LogLine[];
    /**
     * Lines that the same instances logged shortly before, about the upstreams that the request was sent to or about the
     * instance itself, such as its store connection or its configuration.
     */
    readonly relatedLines: readonly LogLine[];
}

/**
 * Finds the log lines that explain a request.
 * @param texts - The logs of several instances, as JSON lines; other lines are ignored.
 * @param requestId - The request's identifier.
 */
export function findRequestTimeline(texts: readonly string[], requestId: string): RequestTimeline {
    const allLines = texts.flatMap(text => text.split("\n").flatMap(line => parseLogLine(line) ?? [])).sort((a, b) => a.time - b.time);
    const requestLines = allLines.filter(({ context }) => context.requestId === requestId || context.requestIds?.split(" ").includes(requestId) === true);
    const lastLine = requestLines.at(-1);
    if (lastLine === undefined) {
        return { requestLines, relatedLines: [] };
    }
    const instances = new Set(requestLines.map(line => line.context.instance));
    const attemptedUpstreams = new Set(requestLines.flatMap(line => [...(line.context.trail ?? "").matchAll(/\[(\S+) \(/g)].map(found => found[1])));
    const services = new Set(requestLines.map(line => line.context.service));
    const relatedLines = allLines.filter(line => {
        const isWithinWindow = line.time <= lastLine.time && line.time >= lastLine.time - relatedWindowMs && line.context.requestId === undefined && line.context.requestIds === undefined;
        const isAboutUpstream = line.context.upstream !== undefined && (attemptedUpstreams.size === 0 ? services.has(line.context.service) : attemptedUpstreams.has(line.context.upstream));
        const isAboutInstance = line.context.upstream === undefined && /^(store|configuration|directory|settings|instance|process|callers|drain|peer|member|log)-/.test(line.context.event);
        return isWithinWindow && instances.has(line.context.instance) && (isAboutUpstream || isAboutInstance);
    });
    return { requestLines, relatedLines };
}

/**
 * Prints the log lines that explain a request.
 * @param options - The request's identifier and the log files.
 */
export function runExplain(options: { readonly request: string; readonly files: readonly string[]; }): void {
    const texts = options.files.map(file => fs.readFileSync(file, "utf8"));
    const { requestLines, relatedLines } = findRequestTimeline(texts, options.request);
    if (requestLines.length === 0) {
        process.stderr.write(`agatebend: no line names the request ${options.request}; every failed request is logged, but only one of 16 successful requests\n`);
        process.exitCode = exitStatus.exitStatus.failure;
        return;
    }
    for (const line of [...relatedLines, ...requestLines]) {
        process.stdout.write(`${formatLogLine(line)}\n`);
    }
}

function parseLogLine(line: string): LogLine | undefined {
    try {
        return logLineSchema.safeParse(JSON.parse(line)).data;
    }
    catch {
        return undefined;
    }
}

/** Formats a line for the operator, with a line of its own for each attempt and for a hedge that was sent or denied. */
export function formatLogLine({ time, message, context: { event, instance, trail, ...values } }: LogLine): string {
    const hiddenFields = new Set(["application", "failureDomain", "logLevel", "requestIds"]);
    const fields = Object.entries(values).filter(([name, value]) => !hiddenFields.has(name) && value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
    const attempts = trail === undefined || trail === "" ? [] : trail.split("] [").map(entry => entry.replace(/^\[|\]$/g, "")).map(entry => entry.startsWith("hedge ") ? `\n    ${entry}` : `\n    attempt: ${entry}`);
    return `${new Date(time).toISOString()} ${instance} ${event}: ${message} ${fields.join(" ")}${attempts.join("")}`;
}

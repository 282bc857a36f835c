/** Metrics and log lines of the quotas. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as workspaceDemand from "./workspaceDemand.js";

const waitBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1];
const millisecondsPerSecond = 1_000;
/** Refusals are logged once in this time, in milliseconds. */
const refusalLogIntervalMs = 1_000;
/** The workspaces with most refusals that have a line each time. */
const maximumLoggedWorkspaces = 5;
/** Refusals of more workspaces than this are counted in the metrics only. */
const maximumCountedWorkspaces = 1_000;

/** What happened to a message. */
export type MessageEvent = "sent" | "failed" | "answered" | "forwarded" | "malformed";

/** Records decisions, tokens and messages. */
export class QuotaMetrics {
    private readonly decisions: promClient.Counter<"decision">;
    private readonly tokens: promClient.Counter<"state">;
    private readonly messages: promClient.Counter<"event">;
    private readonly waits: promClient.Histogram;
    private refusals = new Map<string, number>();
    private refusalsLoggedAt = -Infinity;

    constructor(private readonly context: Pick<context.Context, "metrics" | "logger">) {
        const registers = [context.metrics];
        this.decisions = new promClient.Counter({
            name: "agatebend_quota_decisions_total",
            help: "Requests of workspaces with a quota by decision: granted at once, granted after a wait, refused, returned (granted, and not executed).",
            labelNames: ["decision"],
            registers,
        });
        this.tokens = new promClient.Counter({ name: "agatebend_quota_tokens_total", help: "Tokens that this instance has asked the owners of quotas for, and tokens that it was granted.", labelNames: ["state"], registers });
        this.messages = new promClient.Counter({ name: "agatebend_quota_messages_total", help: "Messages between instances and the owners of quotas, by what happened to them here.", labelNames: ["event"], registers });
        this.waits = new promClient.Histogram({ name: "agatebend_quota_wait_seconds", help: "How long requests of workspaces with a quota waited for a token or a refusal.", buckets: waitBucketsSeconds, registers });
    }

    /** Records how a request for a token ended. */
    recordDecision(workspace: string, decision: workspaceDemand.Decision): void {
        this.waits.observe(decision.waitedMs / millisecondsPerSecond);
        if (decision.kind === "granted") {
            this.decisions.inc({ decision: decision.waitedMs === 0 ? "granted" : "waited" });
            return;
        }
        this.decisions.inc({ decision: "refused" });
        const count = this.refusals.get(workspace);
        if (count !== undefined || this.refusals.size < maximumCountedWorkspaces) {
            this.refusals.set(workspace, (count ?? 0) + 1);
        }
    }

    /** Records that a granted request was not executed. */
    recordReturn(): void {
        this.decisions.inc({ decision: "returned" });
    }

    /** Records an owner's answer to a request for tokens. */
    recordTokens(granted: number, asked: number): void {
        this.tokens.inc({ state: "granted" }, granted);
        this.tokens.inc({ state: "asked" }, asked);
    }

    /** Records what happened to a message. */
    recordMessage(event: MessageEvent): void {
        this.messages.inc({ event });
    }

    /** Logs the refusals since the last lines, at most once a second. */
    writeRefusals(now: number): void {
        if (this.refusals.size === 0 || now - this.refusalsLoggedAt < refusalLogIntervalMs) {
            return;
        }
        this.refusalsLoggedAt = now;
        const { refusals } = this;
        this.refusals = new Map();
        [...refusals].sort(([, a], [, b]) => b - a).slice(0, maximumLoggedWorkspaces).forEach(([workspace, refused]) =>
            this.context.logger.writeInfo("quota-refused", `refused ${refused} requests of workspace ${workspace}, whose quota is used up`, { workspace, refused, workspaces: refusals.size })
        );
    }
}

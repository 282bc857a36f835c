/** Writes the pages that are made from schemas and tables; with --check, fails where one is not current. */

import * as fs from "node:fs";
import { z } from "zod";
import * as configuration from "../src/configuration/index.js";
import * as errors from "../src/kernel/errors.js";
import * as settings from "../src/settings/index.js";

const notice = "This page is made by `npm run docs:settings`; change the source instead.";

function createSettingsPage(): string {
    const rows = settings.listSettingNames().map(name => {
        const schema = settings.serveSettingsSchema.shape[name];
        const byDefault = JSON.stringify(schema.parse(undefined));
        return `| \`--${settings.getFlagName(name)}\` | \`${settings.getEnvironmentVariableName(name)}\` | \`${byDefault}\` | ${schema.description} |`;
    });
    return ["# Settings of `agatebend serve`", "", notice, "", "| flag | environment variable | default | meaning |", "| --- | --- | --- | --- |", ...rows, ""].join("\n");
}

function createErrorsPage(): string {
    const rows = Object.entries(errors.errorDefinitions).map(([kind, answer]) => `| \`${kind}\` | ${answer.status} | ${answer.code} | ${answer.outcome} | ${answer.retry} | ${answer.meaning} |`);
    const explanation = [
        "The outcome says whether the request has run at an upstream. With an order key it speaks of the key: `not-executed` means that no request with the key has run or will run.",
        "",
        "The advice: `no`: a repeat fails alike; `later`: try again after a while; `otherInstance`: try the next address; `sameKey`: an order may be repeated with the same key and is told its outcome, a repeatable request may be sent again.",
    ];
    return ["# Error kinds and their answers", "", notice, "", ...explanation, "", "| kind | HTTP status | RPC code | outcome | advice | meaning |", "| --- | --- | --- | --- | --- | --- |", ...rows, ""].join("\n");
}

function createSchemaPage(): string {
    const schema = JSON.stringify(z.toJSONSchema(configuration.documentSchema, { io: "input" }), undefined, 4);
    return `${schema}\n`;
}

/** Lists the log events and metrics that the code names. */
function createReferencePage(): string {
    const sources = ["src", "platform"].flatMap(root =>
        fs.readdirSync(root, { recursive: true, encoding: "utf8" }).filter(name => name.endsWith(".ts")).sort().map(name => ({ name: `${root}/${name}`, text: fs.readFileSync(`${root}/${name}`, "utf8") }))
    );
    const eventPattern = /write(Debug|Info|Warning|Error)\(\s*(?:error === undefined \? )?("[^"]+"(?: : "[^"]+")?|`[^`]+`|event),\s*(`[^`]*`|"[^"]*"|[^,;]*)/g;
    const events = sources.flatMap(({ name, text }) =>
        [...text.matchAll(eventPattern)].map(([, level, event, message]) =>
            `| ${event!.replaceAll(/["`]/g, "").replace("${change}", "ejected, trial, recovering, routable")} | ${level!.toLowerCase()} | ${name} | ${message!.replaceAll(/^["`]|["`]$/g, "").replaceAll("|", "/")} |`
        )
    );
    const metricPattern = /name: "(agatebend_[a-z_]+)",\s*help: "([^"]+)"(?:,\s*labelNames: \[([^\]]*)\])?/g;
    const metrics = sources.flatMap(({ text }) => [...text.matchAll(metricPattern)].map(([, metric, help, labels]) => `| \`${metric}\` | ${labels?.replaceAll("\"", "") ?? ""} | ${help} |`)).sort();
    return [
        "# Log events and metrics",
        "",
        notice,
        "",
        "Every line carries `instance` and `failureDomain`; `event` is stable. An event in the list as `event` is one of `upstream-trusted`, `upstream-doubted`.",
        "",
        "| event | level | written by | message |",
        "| --- | --- | --- | --- |",
        ...events.sort(),
        "",
        "| metric | labels | meaning |",
        "| --- | --- | --- |",
        ...metrics,
        "",
    ].join("\n");
}

const pages: Readonly<Record<string, string>> = {
    "docs/settings.md": createSettingsPage(),
    "docs/reference.md": createReferencePage(),
    "docs/errors.md": createErrorsPage(),
    "docs/configuration.schema.json": createSchemaPage(),
};
for (const [path, text] of Object.entries(pages)) {
    if (!process.argv.includes("--check")) {
        fs.writeFileSync(path, text);
        continue;
    }
    if (!fs.existsSync(path) || fs.readFileSync(path, "utf8") !== text) {
        process.stderr.write(`${path} is not current; run npm run docs:settings\n`);
        process.exitCode = 1;
    }
}

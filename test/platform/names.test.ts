/** Names of the platform's protocol must appear only in platform/, so that src/ does not depend on the platform. */

import * as fs from "node:fs";
import tap from "tap";

const names = /response-seal|expect-instance|not-executed["']?\s*:|kv-(txn|range|watch|key|keep|lease)|targetLatencyS|timeoutS|op\/config|servers\/|trafficSplit|AGATEBEND_CONFIG_|wire\.json/i;

void tap.test("src/ contains no names of the platform's protocol", async t => {
    const files = fs.readdirSync("src", { recursive: true, encoding: "utf8" }).filter(name => name.endsWith(".ts"));
    const found = files.flatMap(name => fs.readFileSync(`src/${name}`, "utf8").split("\n").flatMap((line, index) => names.test(line) ? [`src/${name}:${index + 1}: ${line.trim()}`] : []));
    t.strictSame(found, []);
});

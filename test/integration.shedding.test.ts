/**
 * Load pattern: most or all upstreams of a service shed for some seconds. Guards against orders that go from one shedding
 * upstream to the next although others accept, against refusals that come only at the deadline, and against refusals that
 * outlast the shedding.
 */

import * as timers from "node:timers/promises";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const upstreamCount = 10;
const sheddingCount = 7;
const ordersPerS = 60;
const targetLatencyMs = 1_000;

interface Answer {
    readonly status: number;
    readonly outcome: string;
    readonly retryAfterS: number;
    readonly latencyMs: number;
}

void tap.test("a service that sheds as a whole", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(upstreamCount);
    const flags = { detection: "fresh", "slot-sharing": "random", "shed-limit": "adaptive", "retry-ratio": 0.2, "retry-slack": 60, "stale-after-ms": 60_000 };
    const instances = await fleet.startFleet(["north", "middle", "south"], `http://${store.getAddress()}`, flags);
    t.teardown(() => Promise.all([store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    const document = configurations.createTestConfiguration({ upstreams: Object.fromEntries(upstreams.map((standIn, index) => [`north-${index}`, standIn.getAddress()])) });
    await fleet.applyConfiguration(instances[0]!, { ...document, routes: document.routes.map(route => ({ ...route, targetLatencyMs })) });
    const setShedding = (count: number) => Promise.all(upstreams.map((standIn, index) => standIn.setBehaviour({ shedsAll: index < count })));

    let orders = 0;
    const sendOrder = async (): Promise<Answer> => {
        orders += 1;
        const startedAt = performance.now();
        const response = await instances[orders % instances.length]!.send("/free-orders", { method: "POST", body: `order ${orders}` });
        return { status: response.status, outcome: String(response.headers["x-agatebend-outcome"]), retryAfterS: Number(response.headers["retry-after"] ?? 0), latencyMs: performance.now() - startedAt };
    };
    const sendOrders = async (durationMs: number): Promise<readonly Answer[]> => {
        const sent: Promise<Answer>[] = [];
        for (const startedAt = performance.now(); performance.now() - startedAt < durationMs;) {
            sent.push(sendOrder());
            await timers.setTimeout(1_000 / ordersPerS);
        }
        return Promise.all(sent);
    };
    const countAttempts = async () => {
        const texts = await Promise.all(instances.map(async instance => (await processes.sendRequest(`http://${instance.ports.operator}/metrics`)).body.toString()));
        const lines = texts.flatMap(text => [...text.matchAll(/^agatebend_attempts_total\{.*result="([\w ]+)".*\} (\d+)$/gm)]);
        const sum = (results: readonly string[]) => lines.reduce((total, [, result, count]) => results.includes(result!) ? total + Number(count) : total, 0);
        return { shed: sum(["shed"]), all: sum(["shed", "answered 2xx"]) };
    };
    const isServed = ({ status }: Answer) => status === 200;
    const formatAnswers = (answers: readonly Answer[]) => `${answers.filter(isServed).length} of ${answers.length} served, the slowest answer after ${Math.round(Math.max(...answers.map(({ latencyMs }) => latencyMs)))} ms`;

    const calm = await sendOrders(2_000);
    t.ok(calm.every(isServed), `before the shedding: ${formatAnswers(calm)}`);

    await t.test("most upstreams shed", async t => {
        const before = await countAttempts();
        await setShedding(sheddingCount);
        const answers = await sendOrders(5_000);
        const after = await countAttempts();
        const shedShare = (after.shed - before.shed) / (after.all - before.all);
        t.ok(answers.filter(isServed).length >= answers.length * 0.97, formatAnswers(answers));
        t.ok(shedShare <= 0.2, `${shedShare.toFixed(3)} of ${after.all - before.all} attempts were shed`);
    });

    await t.test("all upstreams shed", async t => {
        await setShedding(upstreamCount);
        const answers = await sendOrders(4_000);
        t.ok(answers.every(({ status, outcome }) => status === 503 && outcome === "not-executed"), formatAnswers(answers));
        t.ok(answers.every(({ latencyMs }) => latencyMs < 2_000), "no answer comes only at the deadline of 5 s");
        const delays = answers.map(({ retryAfterS }) => retryAfterS).sort((a, b) => a - b);
        t.ok(delays[0]! >= 0.2 && delays.at(-1)! - delays[0]! > 0.5, `callers are told to come back after ${delays[0]} to ${delays.at(-1)} s`);
        t.ok(instances.some(instance => instance.listLogs("shed-limit-closed").length > 0), "a limit was tried");
    });

    await t.test("the service accepts again", async t => {
        await setShedding(0);
        await timers.setTimeout(2_000);
        const answers = await sendOrders(2_000);
        t.ok(answers.filter(isServed).length >= answers.length * 0.97, formatAnswers(answers));
    });
});

// Bundles the program. --platform adds the bundle with the platform's adapters, --test the tools for tests, demos and
// benchmarks, and --binary a single executable file.
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";
import { build } from "esbuild";

const manifest = JSON.parse(fs.readFileSync("package.json", "utf8"));
fs.writeFileSync("src/version.generated.ts", `/** The version of package.json; made by npm run build. */\nexport const version = "${manifest.version}";\n`);
const shared = { bundle: true, platform: "node", target: "node20", logLevel: "warning" };
await build({
    ...shared,
    entryPoints: ["src/main.ts"],
    format: "cjs",
    outfile: "dist/agatebend.cjs",
    // The CBOR codec's native addon is disabled, since it cannot be part of a single-file bundle.
    define: { "import.meta.url": "importMetaUrl", "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": "\"true\"" },
    banner: { js: "#!/usr/bin/env node\nconst importMetaUrl=require(\"node:url\").pathToFileURL(__filename).href;" },
});
fs.chmodSync("dist/agatebend.cjs", 0o755);
/** Leaves out prom-client's push gateway, which the program does not use: its modules for HTTPS, TLS and compression would delay every start. */
const withoutPushGateway = {
    name: "without-push-gateway",
    setup: bundle => bundle.onLoad({ filter: /prom-client[\\/]lib[\\/]pushgateway\.js$/ }, () => ({ contents: "module.exports = undefined;" })),
};
const platformOptions = {
    ...shared,
    format: "cjs",
    plugins: [withoutPushGateway],
    minify: process.env.AGATEBEND_MINIFY !== "no",
    define: { "import.meta.url": "importMetaUrl", "process.env.CBOR_NATIVE_ACCELERATION_DISABLED": "\"true\"" },
    banner: { js: "const importMetaUrl=require(\"node:url\").pathToFileURL(__filename).href;" },
};
// V8 rejects a cache that was made with other flags, so those of the deployment are used.
const [, flags = ""] = /^run = "node ((?:--\S+ )*)/m.exec(fs.readFileSync("deploy/system.toml", "utf8")) ?? [];
for (const directory of [...process.argv.includes("--platform") ? ["target"] : [], ...process.argv.includes("--test") ? ["dist/platform"] : []]) {
    await build({ ...platformOptions, entryPoints: ["platform/main.ts"], outfile: `${directory}/program.cjs` });
    await build({ ...platformOptions, banner: {}, entryPoints: ["platform/launch.ts"], outfile: `${directory}/agatebend.cjs` });
    execFileSync(process.execPath, [...flags.split(" ").filter(flag => flag !== ""), "scripts/writeCodeCache.mjs", `${directory}/program.cjs`, `${directory}/program.cache`], { stdio: "inherit" });
}
if (process.argv.includes("--test")) {
    fs.copyFileSync("dist/platform/program.cjs", "dist/agatebend-platform.cjs");
}
if (process.argv.includes("--test")) {
    const banner = { js: "import { createRequire as createBundleRequire } from \"node:module\"; const require = createBundleRequire(import.meta.url);" };
    const entryPoints = ["test/standins/main.ts", ...fs.readdirSync("bench").filter(name => name.endsWith(".bench.ts")).map(name => `bench/${name}`), "scripts/demo.ts", "scripts/emulate.ts", "scripts/soak.ts", "scripts/generateDocs.ts"];
    await build({ ...shared, entryPoints: entryPoints.filter(path => fs.existsSync(path)), format: "esm", outdir: "dist/tools", outExtension: { ".js": ".mjs" }, outbase: ".", banner });
}
if (process.argv.includes("--binary")) {
    fs.writeFileSync("dist/sea.json", JSON.stringify({ main: "dist/agatebend.cjs", output: "dist/sea.blob", disableExperimentalSEAWarning: true }));
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "inherit" });
    fs.rmSync("dist/agatebend", { force: true });
    fs.copyFileSync(process.execPath, "dist/agatebend");
    fs.chmodSync("dist/agatebend", 0o755);
    execFileSync("npx", ["postject", "dist/agatebend", "NODE_SEA_BLOB", "dist/sea.blob", "--sentinel-fuse", "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2"], { stdio: "inherit" });
}

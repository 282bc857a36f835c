// Installs the locked packages where they are missing or older than the lockfile.
// Not by npm ci: it refuses a lockfile without the optional binaries of every other platform, and some of those cannot
// be had from each registry. npm install takes the locked versions and leaves out what is optional and missing.
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";

const installed = "node_modules/.package-lock.json";
const isCurrent = fs.existsSync(installed) && fs.statSync(installed).mtimeMs >= fs.statSync("package-lock.json").mtimeMs;
if (!isCurrent) {
    execFileSync("npm", ["install", "--no-save", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

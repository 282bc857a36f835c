// Installs the locked packages if they are missing or older than the lockfile.
// npm ci is not used, because it rejects a lockfile without the optional binaries of every other platform, and not every
// registry has all of them. npm install uses the locked versions and skips optional packages that are unavailable.
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";

const installed = "node_modules/.package-lock.json";
const isCurrent = fs.existsSync(installed) && fs.statSync(installed).mtimeMs >= fs.statSync("package-lock.json").mtimeMs;
if (!isCurrent) {
    execFileSync("npm", ["install", "--no-save", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

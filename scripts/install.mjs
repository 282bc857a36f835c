// Installs the locked packages where they are missing or older than the lockfile.
import { execFileSync } from "node:child_process";
import * as fs from "node:fs";

const installed = "node_modules/.package-lock.json";
const isCurrent = fs.existsSync(installed) && fs.statSync(installed).mtimeMs >= fs.statSync("package-lock.json").mtimeMs;
if (!isCurrent) {
    execFileSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
}

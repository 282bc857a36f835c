// Formats the files named by dprint.json, or with --check lists those that are not formatted and exits with 1.
// The plugin runs as WebAssembly in Node, because the registry lacks a native formatter for some processors.
import { createContext } from "@dprint/formatter";
import * as typescript from "@dprint/typescript";
import * as fs from "node:fs";
import { globSync } from "tinyglobby";

const isCheck = process.argv.includes("--check");
const { includes, excludes, typescript: typescriptConfig, ...globalConfig } = JSON.parse(fs.readFileSync("dprint.json", "utf8"));
const context = createContext(globalConfig);
const formatter = context.addPlugin(fs.readFileSync(typescript.getPath()), typescriptConfig);
const diagnostics = formatter.getConfigDiagnostics();
if (diagnostics.length > 0) {
    throw new Error(`dprint.json: ${diagnostics.map(({ propertyName, message }) => `${propertyName}: ${message}`).join("; ")}`);
}
const files = globSync(includes, { ignore: excludes }).sort();
if (files.length === 0) {
    throw new Error("dprint.json includes no files.");
}
const unformatted = files.filter(filePath => {
    const fileText = fs.readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    if (formatted !== fileText && !isCheck) {
        fs.writeFileSync(filePath, formatted);
    }
    return formatted !== fileText;
});
for (const file of unformatted) {
    process.stdout.write(`${isCheck ? "not formatted" : "formatted"}: ${file}\n`);
}
process.exitCode = isCheck && unformatted.length > 0 ? 1 : 0;

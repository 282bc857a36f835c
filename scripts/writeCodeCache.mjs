// Compiles every function of a program and writes V8's code cache, which platform/launch.ts reads.
import * as fs from "node:fs";
import { Module } from "node:module";
import * as path from "node:path";
import * as v8 from "node:v8";
import * as vm from "node:vm";

const [program, cache] = process.argv.slice(2);
// The flag is part of what V8 compares, so it is set back before the cache is created.
v8.setFlagsFromString("--no-lazy");
const script = new vm.Script(Module.wrap(fs.readFileSync(program, "utf8")), { filename: path.resolve(program) });
v8.setFlagsFromString("--lazy");
fs.writeFileSync(cache, script.createCachedData());

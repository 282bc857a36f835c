/** The program's entry. */

import "./cli/enableLogs.js";
import * as program from "./cli/program.js";
import * as version from "./version.generated.js";

void program.runProgram(process.argv.slice(2), version.version);

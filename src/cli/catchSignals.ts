/** Catches signals if the command is `serve`. Import this file before others, since loading them takes time in which a signal would end the process. */

import * as signals from "./signals.js";

if (process.argv[2] === "serve") {
    signals.startCatching();
}

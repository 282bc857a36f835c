/** Imports the modules of all plug-ins; each registers its plug-in when it is loaded. */

import "./admission/index.js";
import "./callers/index.js";
import "./configuration/index.js";
import "./detection/index.js";
import "./discovery/index.js";
import "./membership/index.js";
import "./operators/index.js";
import "./orders/index.js";
import "./peers/index.js";
import "./pool/index.js";
import "./quotas/index.js";
import "./requests/index.js";
import "./upstreamHealth/index.js";
import "./store/index.js";

/** Workspaces, which are the customers of the operator, and the keys of their callers. */

export { type Caller, computeKeyDigest, getWithdrawnKeyError, resolveCaller } from "./resolveCaller.js";

/** Determines the workspace of a request from the key that its caller shows. */

import * as crypto from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type * as configuration from "../configuration/index.js";
import * as errors from "../kernel/errors.js";

/** Longer keys are unknown without being hashed. */
const maximumKeyLength = 4_096;
const credentialPattern = /^Bearer +([\x21-\x7e]+) *$/i;

/** What is known of a request's caller by its key. */
export interface Caller {
    /** Undefined for a request to a public route without a known key, and where no workspaces are configured. */
    readonly workspace: configuration.CompiledWorkspace | undefined;
    /** The digest of the key that the request was admitted by; undefined if it needed none. */
    readonly keyDigest: string | undefined;
}

const anonymousCaller: Caller = { workspace: undefined, keyDigest: undefined };

/** Computes the digest by which the configuration names a key. */
export function computeKeyDigest(key: string): string {
    return crypto.createHash("sha256").update(key, "latin1").digest("hex");
}

/**
 * Determines the caller of a request. Returns a `keyUnknown` error if the route needs a key and the request has not exactly
 * one that a workspace holds. Errors do not contain the key.
 * @param compiled - The active configuration.
 * @param route - The request's route.
 * @param authorizations - The values of the request's Authorization headers.
 */
export function resolveCaller(compiled: configuration.CompiledConfiguration, route: Pick<configuration.CompiledRoute, "public">, authorizations: readonly string[]): Result<Caller, errors.FleetError> {
    if (!compiled.needsKeys) {
        return ok(anonymousCaller);
    }
    const keyDigest = parseKeyDigest(authorizations);
    const workspace = keyDigest === undefined ? undefined : compiled.workspaces.get(keyDigest);
    if (route.public) {
        return ok({ workspace, keyDigest: undefined });
    }
    if (workspace === undefined) {
        return err(errors.createError("keyUnknown", authorizations.length === 0 ? "the request has no Authorization header, and its route is not public" : "the Authorization header holds no key of a workspace"));
    }
    return ok({ workspace, keyDigest });
}

/**
 * Returns the error of a request whose key a newer configuration has withdrawn or given to another workspace; undefined
 * if its key is still valid.
 * @param compiled - The active configuration.
 * @param request - The name of the workspace and the digest that the request was admitted by.
 */
export function getWithdrawnKeyError(compiled: configuration.CompiledConfiguration | undefined, { workspace, keyDigest }: { readonly workspace: string; readonly keyDigest: string | undefined; }): errors.FleetError | undefined {
    if (keyDigest === undefined || compiled === undefined || !compiled.needsKeys || compiled.workspaces.get(keyDigest)?.name === workspace) {
        return undefined;
    }
    return errors.createError("keyUnknown", "the key of the request was withdrawn while the request waited");
}

function parseKeyDigest(authorizations: readonly string[]): string | undefined {
    const [authorization = ""] = authorizations;
    if (authorizations.length !== 1 || authorization.length > maximumKeyLength) {
        return undefined;
    }
    const key = credentialPattern.exec(authorization)?.[1];
    return key === undefined ? undefined : computeKeyDigest(key);
}

/** What a check of a configuration document finds. */

/**
 * How much a finding matters: an `error` makes the document invalid, a `warning` is valid and probably not meant, and a
 * `change` is a difference from another version.
 */
export type Severity = "error" | "warning" | "change";

/** One result of a check. */
export interface Finding {
    readonly severity: Severity;
    /** Identifies the kind of finding; it does not change between releases. */
    readonly code: string;
    /** The place in the document: field names joined by dots. Entries of lists have their position in errors, and else their name. */
    readonly path: string;
    readonly message: string;
}

/** Creates findings of one severity. */
export function createFinding(severity: Severity, code: string, path: string, message: string): Finding {
    return { severity, code, path, message };
}

/** Formats a finding as a line without its code. */
export function formatFinding({ path, message }: Finding): string {
    return `${path}: ${message}`;
}

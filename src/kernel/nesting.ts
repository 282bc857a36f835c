/** The depth of values that another program wrote. Recursive code, such as an encoder, exceeds the stack on values that are too deep. */

/** The deepest nesting of arrays and objects that is accepted from other programs. */
export const maximumDepth = 64;

/** Returns whether arrays and objects are nested more deeply than is accepted. */
export function isNestedTooDeeply(value: unknown): boolean {
    let level: readonly object[] = value instanceof Object ? [value] : [];
    for (let depth = 0; level.length > 0; depth += 1) {
        if (depth >= maximumDepth) {
            return true;
        }
        level = level.flatMap(container => listChildren(container).filter(child => child instanceof Object));
    }
    return false;
}

function listChildren(container: object): readonly unknown[] {
    if (Array.isArray(container)) {
        return container;
    }
    return ArrayBuffer.isView(container) ? [] : Object.values(container);
}

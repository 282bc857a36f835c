/** Parses JSON that another program wrote, within bounds on its size and depth. */

import { err, ok, type Result } from "neverthrow";
import * as errors from "./errors.js";
import * as nesting from "./nesting.js";

/** The default bound on the text. It is above every value that a store accepts. */
const defaultMaximumCharacters = 64 * 1_048_576;

const quote = 0x22;
const backslash = 0x5c;
const openingBracket = 0x5b;
const closingBracket = 0x5d;
const openingBrace = 0x7b;
const closingBrace = 0x7d;

/** Bounds that differ from the defaults. */
export interface ParseJsonOptions {
    /** The longest text that is parsed, in UTF-16 code units. */
    readonly maximumCharacters?: number;
}

/**
 * Parses JSON text. Never throws.
 * @param text - The text, from any source.
 * @returns The value, or an `inputMalformed` error if the text is not JSON, too long, or nested too deeply.
 */
export function parseJson(text: string, { maximumCharacters = defaultMaximumCharacters }: ParseJsonOptions = {}): Result<unknown, errors.FleetError> {
    if (text.length > maximumCharacters) {
        return err(errors.createError("inputMalformed", `the text has ${text.length} characters; ${maximumCharacters} are allowed`));
    }
    if (isTextNestedTooDeeply(text)) {
        return err(errors.createError("inputMalformed", `the JSON is nested more than ${nesting.maximumDepth} levels deep`));
    }
    try {
        return ok(JSON.parse(text));
    }
    catch (thrown) {
        return err(errors.createError("inputMalformed", `the text is not JSON: ${removeExcerpt(errors.getErrorMessage(thrown))}`));
    }
}

/** Removes the excerpt of the text that some messages of `JSON.parse` contain, because a configuration contains keys. */
function removeExcerpt(message: string): string {
    return message.replace(/(^|, )(\.\.\.)?".* is not valid JSON$/s, "") || "it begins with no value";
}

/** Returns whether brackets and braces outside of strings are nested more deeply than allowed. */
function isTextNestedTooDeeply(text: string): boolean {
    let depth = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index += 1) {
        const code = text.charCodeAt(index);
        if (isInString) {
            if (code === backslash) {
                index += 1;
            }
            else if (code === quote) {
                isInString = false;
            }
            continue;
        }
        if (code === quote) {
            isInString = true;
        }
        else if (code === openingBracket || code === openingBrace) {
            depth += 1;
            if (depth > nesting.maximumDepth) {
                return true;
            }
        }
        else if (code === closingBracket || code === closingBrace) {
            depth -= 1;
        }
    }
    return false;
}

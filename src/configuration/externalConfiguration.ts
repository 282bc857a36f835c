/** The translation of a configuration that another program keeps in the store. */

import { ok, type Result } from "neverthrow";
import type * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as checkDocument from "./checkDocument.js";
import type * as schema from "./schema.js";

/** A version of a configuration that another program wrote. */
export interface ExternalConfiguration {
    /** Rises with each change. */
    readonly version: number;
    readonly document: schema.ConfigurationDocument;
}

/** Parses the value of the followed key. */
export type ConfigurationParser = (text: string) => Result<ExternalConfiguration, errors.FleetError>;

/** The key of the parser; without one, values are documents of the product's own form with their version beside them. */
export const configurationParserKey = serviceRegistry.createServiceKey<ConfigurationParser>("parseConfiguration");

/**
 * Parses `{"version": N, "document": {...}}`.
 * @param text - JSON.
 */
export function parseDefaultConfiguration(text: string): Result<ExternalConfiguration, errors.FleetError> {
    return checkDocument.parseVersionedDocument(text).andThen(({ version, document }) => checkDocument.checkDocument(document).andThen(checked => ok({ version, document: checked })));
}

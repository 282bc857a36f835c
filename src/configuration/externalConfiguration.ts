/** Parsing of a configuration that another program maintains in the store. */

import { ok, type Result } from "neverthrow";
import type * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as checkDocument from "./checkDocument.js";
import type * as schema from "./schema.js";

/** A version of a configuration that another program wrote. */
export interface ExternalConfiguration {
    /** Increases with each change. */
    readonly version: number;
    readonly document: schema.ConfigurationDocument;
    /** Descriptions of the entries that were left out because this release does not know their kind or cannot use them. */
    readonly omissions?: readonly string[];
}

/** Parses the value of the store key that the setting `configurationKey` names. */
export type ConfigurationParser = (text: string) => Result<ExternalConfiguration, errors.FleetError>;

/** The registry key of the parser; if none is registered, `parseDefaultConfiguration` is used. */
export const configurationParserKey = serviceRegistry.createServiceKey<ConfigurationParser>("parseConfiguration");

/** Parses JSON text of the form `{"version": N, "document": {...}}` and validates the document. */
export function parseDefaultConfiguration(text: string): Result<ExternalConfiguration, errors.FleetError> {
    return checkDocument.parseVersionedDocument(text).andThen(({ version, document }) => checkDocument.checkDocument(document).andThen(checked => ok({ version, document: checked })));
}

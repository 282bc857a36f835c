/** The settings of the program: schema, names and validation. */

export { type Address, formatAddress, getAdvertisedAddress, isConnectableAddress, parseAddress } from "./address.js";
export { computeCapacity } from "./capacity.js";
export { checkServeSettings, formatSchemaIssue } from "./checkServeSettings.js";
export { getEnvironmentVariableName, getFlagName, listSettingNames, type ServeSettings, serveSettingsSchema, type SettingName } from "./serveSettings.js";

/** Settings: their schema, names and checks. */

export { type Address, formatAddress, getAdvertisedAddress, parseAddress } from "./address.js";
export { checkServeSettings, formatIssue } from "./check.js";
export { getEnvironmentVariable, getFlag, listSettingNames, serveSchema, type ServeSettings, type SettingName } from "./definitions.js";

/** The version of package.json; made by npm run build. */
export const version = "0.2.0";

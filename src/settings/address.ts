/** Parsing and formatting of addresses of the form HOST:PORT. */

/** A host and a port. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/**
 * Parses an address that the settings schema has validated.
 * @param text - HOST:PORT, with an IPv6 host in brackets.
 */
export function parseAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(text.slice(colon + 1)) };
}

/** Formats an address as HOST:PORT, with an IPv6 host in brackets. */
export function formatAddress(address: Address): string {
    return address.host.includes(":") ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}

/**
 * Returns the address to announce: the advertised address if one is set, else the listening address with the bound port.
 * @param advertised - The setting of the advertised address; may be empty.
 * @param listening - The setting of the listening address; its port may be 0.
 * @param boundPort - The port that the server is bound to.
 */
export function getAdvertisedAddress(advertised: string, listening: string, boundPort: number): string {
    return advertised !== "" ? advertised : formatAddress({ host: parseAddress(listening).host, port: boundPort });
}

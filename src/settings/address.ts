/** Addresses written as HOST:PORT. */

/** A host and a port. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/**
 * Parses an address that the settings' schema has accepted.
 * @param text - HOST:PORT; an IPv6 host stands in brackets.
 */
export function parseAddress(text: string): Address {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(text.slice(colon + 1)) };
}

/**
 * Formats an address as HOST:PORT.
 * @param address - The host and port.
 */
export function formatAddress(address: Address): string {
    return address.host.includes(":") ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}

/**
 * Returns the address to tell others: the advertised one, or the listening one with the port that was bound.
 * @param advertised - The setting; empty for none.
 * @param listening - The setting of the listening address.
 * @param boundPort - The port that the server took.
 */
export function getAdvertisedAddress(advertised: string, listening: string, boundPort: number): string {
    return advertised !== "" ? advertised : formatAddress({ host: parseAddress(listening).host, port: boundPort });
}

/** Parsing and formatting of addresses of the form HOST:PORT. */

import * as net from "node:net";

const maximumPort = 65_535;
/** The longest host name, and a port. */
const maximumAddressCharacters = 259;
const connectableAddressPattern = /^(\[[0-9a-fA-F:.]+\]|[A-Za-z0-9_.-]+):\d{1,5}$/;

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

/**
 * Returns whether a text from outside of the program is an address to which a connection can be opened.
 * @param text - HOST:PORT with a port from 1 to 65535, and an IPv6 host in brackets. A host of digits and dots must be an IPv4 address.
 */
export function isConnectableAddress(text: string): boolean {
    if (text.length > maximumAddressCharacters || !connectableAddressPattern.test(text)) {
        return false;
    }
    const { host, port } = parseAddress(text);
    const isHostValid = text.startsWith("[") ? net.isIPv6(host) : !/^[0-9.]+$/.test(host) || net.isIPv4(host);
    return isHostValid && port >= 1 && port <= maximumPort;
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

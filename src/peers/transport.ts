/** Plain or TLS sockets for the peer port, by the settings. */

import * as fs from "node:fs";
import * as net from "node:net";
import * as tls from "node:tls";
import * as settings from "../settings/index.js";

/** The certificates of the peer and operator ports. */
export interface TlsFiles {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca?: Buffer;
}

/**
 * Reads the certificates that the settings name.
 * @param options - The settings.
 */
export function readTlsFiles(options: settings.ServeSettings): TlsFiles | undefined {
    if (options.tlsCertificateFile === "") {
        return undefined;
    }
    return {
        cert: fs.readFileSync(options.tlsCertificateFile),
        key: fs.readFileSync(options.tlsKeyFile),
        ca: options.tlsAuthorityFile === "" ? undefined : fs.readFileSync(options.tlsAuthorityFile),
    };
}

/**
 * Reads the shared secret that the settings name; empty for none.
 * @param options - The settings.
 */
export function readSharedSecret(options: settings.ServeSettings): string {
    return options.sharedSecretFile === "" ? "" : fs.readFileSync(options.sharedSecretFile, "utf8").trim();
}

/**
 * Creates a server for peers; both sides show a certificate where TLS is on.
 * @param files - The certificates, if any.
 * @param onSocket - Called with each accepted socket.
 */
export function createPeerServer(files: TlsFiles | undefined, onSocket: (socket: net.Socket) => void): net.Server {
    if (files === undefined) {
        return net.createServer(onSocket);
    }
    return tls.createServer({ ...files, requestCert: true, rejectUnauthorized: true }, onSocket);
}

/**
 * Opens a connection to a peer.
 * @param files - The certificates, if any.
 * @param address - The peer's address.
 * @param onConnect - Called when the connection is ready.
 */
export function openPeerSocket(files: TlsFiles | undefined, address: settings.Address, onConnect: () => void): net.Socket {
    const socket = files === undefined
        ? net.connect({ ...address }, onConnect)
        : tls.connect({ ...files, ...address, checkServerIdentity: () => undefined }, onConnect);
    return socket;
}

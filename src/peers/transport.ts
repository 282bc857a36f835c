/** Opens the sockets between peers, with TLS if the settings name a certificate. The module for TLS is loaded only then, because it delays every start. */

import * as fs from "node:fs";
import * as net from "node:net";
import * as settings from "../settings/index.js";

/** The certificate, private key and authority certificate of the peer and operator ports, in PEM form. */
export interface TlsFiles {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca?: Buffer;
}

/**
 * Reads the TLS files that the settings name; undefined if TLS is off.
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
 * Reads the shared secret from the file that the settings name; empty if none is set.
 * @param options - The settings.
 */
export function readSharedSecret(options: settings.ServeSettings): string {
    return options.sharedSecretFile === "" ? "" : fs.readFileSync(options.sharedSecretFile, "utf8").trim();
}

/**
 * Creates the server of the peer port. With TLS, both sides must present a certificate.
 * @param files - The TLS files; undefined for plain TCP.
 * @param onSocket - Called with each accepted socket.
 */
export function createPeerServer(files: TlsFiles | undefined, onSocket: (socket: net.Socket) => void): net.Server {
    if (files === undefined) {
        return net.createServer(onSocket);
    }
    return process.getBuiltinModule("node:tls").createServer({ ...files, requestCert: true, rejectUnauthorized: true }, onSocket);
}

/**
 * Opens a connection to a peer. With TLS, the peer's certificate must be valid, but its host name is not checked.
 * @param files - The TLS files; undefined for plain TCP.
 * @param address - The peer's address.
 * @param onConnect - Called when the connection is established, with TLS after the TLS handshake.
 */
export function openPeerSocket(files: TlsFiles | undefined, address: settings.Address, onConnect: () => void): net.Socket {
    const socket = files === undefined
        ? net.connect({ ...address }, onConnect)
        : process.getBuiltinModule("node:tls").connect({ ...files, ...address, checkServerIdentity: () => undefined }, onConnect);
    return socket;
}

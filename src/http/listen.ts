/**
 * Makes a server listen, on a port of its own or on that of another server.
 */
import type { AddressInfo, ListenOptions, Server } from 'node:net';

function listenOn(server: Server, where: ListenOptions | Server): Promise<AddressInfo> {
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(where, () => {
      server.off('error', fail);
      done(server.address() as AddressInfo);
    });
  });
}

/**
 * Opens a port.
 *
 * @param server - a server that does not listen yet.
 * @param options - the host, the port and other options of `node:net`.
 * @returns The address; for port 0, with the port that the operating system chose.
 * @throws The error of the operating system when the port cannot be opened.
 */
export function listen(server: Server, options: ListenOptions): Promise<AddressInfo> {
  return listenOn(server, options);
}

/**
 * Takes over the open port of another server.
 *
 * @param server - a server that does not listen yet.
 * @param listener - a server that listens and has accepted no connection; its port is used by `server` from now on.
 * @returns The address of the port.
 */
export function takeOverPort(server: Server, listener: Server): Promise<AddressInfo> {
  return listenOn(server, listener);
}

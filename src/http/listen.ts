/**
 * Opens a port.
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
 * @param server - that does not listen yet.
 * @param options - host, port, and what else the system takes.
 * @returns The address, with the port that the system chose where 0 was asked for.
 * @throws The system's error when the port cannot be opened.
 */
export function listen(server: Server, options: ListenOptions): Promise<AddressInfo> {
  return listenOn(server, options);
}

/**
 * @param server - that does not listen yet.
 * @param listener - that listens and has accepted nothing; its port belongs to the server from now on.
 * @returns The address.
 */
export function takeOver(server: Server, listener: Server): Promise<AddressInfo> {
  return listenOn(server, listener);
}

/**
 * Reads an address with a port.
 */
import net from 'node:net';

import VError from 'verror';

/** Where to connect, or to listen. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const HIGHEST_PORT = 65_535;

/** Options of {@link parseAddress}. */
export interface ParseAddressOptions {
  /** Whether port 0 is taken, by which one who listens lets the system choose. */
  mayChoosePort?: boolean;
}

/**
 * @param address - `address:port`, version 6 in brackets.
 * @param options - what is taken.
 * @returns Host and port.
 * @throws {@link VError} when it is not an IP number with a port: names would need a look-up on the way.
 */
export function parseAddress(
  address: string,
  { mayChoosePort = false }: ParseAddressOptions = {},
): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, Math.max(0, colon)).replace(/^\[(.*)\]$/, '$1');
  const port = Number(address.slice(colon + 1));
  const lowestPort = mayChoosePort ? 0 : 1;
  const isPort = Number.isInteger(port) && port >= lowestPort && port <= HIGHEST_PORT;
  const valid = net.isIP(host) !== 0 && isPort;
  if (!valid) throw new VError('the address "%s" is not an IP number with a port', address);
  return { host, port };
}

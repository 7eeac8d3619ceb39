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

/**
 * @param address - `address:port`, version 6 in brackets.
 * @returns Host and port.
 * @throws {@link VError} when it is not an IP number with a port: names would need a look-up on the way.
 */
export function parseAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, Math.max(0, colon)).replace(/^\[(.*)\]$/, '$1');
  const port = Number(address.slice(colon + 1));
  const valid = net.isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
  if (!valid) throw new VError('the address "%s" is not an IP number with a port', address);
  return { host, port };
}

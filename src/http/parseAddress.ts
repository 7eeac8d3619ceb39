/**
 * Parses an IP address with a port.
 */
import net from 'node:net';

import VError from 'verror';

/** An address to connect to or to listen at. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

const HIGHEST_PORT = 65_535;

/** Options of {@link parseAddress}. */
export interface ParseAddressOptions {
  /** Whether port 0 is allowed, with which the operating system chooses the port of a listener. */
  mayChoosePort?: boolean;
}

/**
 * @param address - `address:port`, with an IPv6 address in brackets.
 * @param options - whether port 0 is allowed.
 * @returns Host and port.
 * @throws {@link VError} when the text is not an IP address with a port. Host names are rejected, because each connection
 * would need a DNS look-up.
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

/**
 * @param address - `address:port` to listen at, with port 0 for any free one.
 * @returns Host and port.
 * @throws {@link VError} when the text is not an IP address with a port.
 */
export function parseListenAddress(address: string): HostAndPort {
  return parseAddress(address, { mayChoosePort: true });
}

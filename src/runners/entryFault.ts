/**
 * Finds out whether a runner could be used by its entry. Any client of the platform's store may write one, and an entry with
 * fields of the right types may still name a runner to which no request can be sent.
 */
import { BlockList, isIPv6 } from 'node:net';

import { isWritableHeader } from '../http/isWritableHeader.js';
import type { RunnerEntry } from './Runner.js';

/** Longest id or name, in characters: daemons tell each other of runners in datagrams of 1,400 bytes. */
const MAXIMUM_CHARACTERS = 256;

/** Most requests that a runner works on at the same time; no engine has so many slots. */
const MAXIMUM_SLOTS = 100_000;

/** Longest time for which a runner stays cold, in ms. */
const MAXIMUM_COLD_MILLISECONDS = 86_400_000;

/** Addresses at which no single instance listens: a connection to them fails at once, or reaches another one. */
const UNUSABLE_HOSTS = new BlockList();
UNUSABLE_HOSTS.addSubnet('0.0.0.0', 8, 'ipv4');
UNUSABLE_HOSTS.addSubnet('224.0.0.0', 4, 'ipv4');
UNUSABLE_HOSTS.addSubnet('240.0.0.0', 4, 'ipv4');
UNUSABLE_HOSTS.addAddress('::', 'ipv6');
UNUSABLE_HOSTS.addSubnet('ff00::', 8, 'ipv6');

/** Only part of the field's content arrives at the runner if there is space around it. */
function isNameable(id: string): boolean {
  return id !== '' && id === id.trim() && isWritableHeader('runner', id);
}

/** The zone of an IPv6 address names an interface of the instance that wrote it. */
function isUsableHost(host: string): boolean {
  if (host.includes('%')) return false;
  return !UNUSABLE_HOSTS.check(host, isIPv6(host) ? 'ipv6' : 'ipv4');
}

/**
 * @param entry - a runner's entry.
 * @returns Why no request can be sent by it; `undefined` if it can be used.
 */
export function findEntryFault(entry: RunnerEntry): string | undefined {
  const { id, life, service, dataCentre, softwareVersion = '', host } = entry;
  const { slots = 0, coldMilliseconds = 0 } = entry;
  if (!isNameable(id)) return 'its id cannot be named in a header';
  const longest = Math.max(
    ...[life, service, dataCentre, softwareVersion].map((text) => text.length),
  );
  if (longest > MAXIMUM_CHARACTERS) return `a name is longer than ${MAXIMUM_CHARACTERS} characters`;
  if (!isUsableHost(host)) return 'its address is not that of one instance';
  if (slots > MAXIMUM_SLOTS) return `it has more than ${MAXIMUM_SLOTS} slots`;
  if (coldMilliseconds > MAXIMUM_COLD_MILLISECONDS) return 'it stays cold for longer than a day';
  return undefined;
}

/**
 * Which addresses callers should use.
 */
import type { DaemonEntry } from '../sync/FleetStore.js';

/** What the answer depends on. */
export interface DirectoryQuestion {
  /** Daemons that are registered, with this one or without. */
  readonly daemons: readonly DaemonEntry[];
  /** This daemon, as long as it takes requests. */
  readonly own: DaemonEntry | undefined;
  /** Where the caller is, if it says so. */
  readonly dataCentre: string | undefined;
}

/** Callers take no more addresses than this. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Gives all daemons, those of the caller's data centre first: a caller that knows all of them needs no new
 * answer when some die, and spreads its requests over all.
 *
 * @param question - the daemons, and the caller's place.
 * @returns Addresses for callers; empty when there is none.
 */
export function addressesFor({ daemons, own, dataCentre }: DirectoryQuestion): string[] {
  const others = daemons.filter(({ name }) => name !== own?.name);
  const all = own ? [own, ...others] : others;
  const near = all.filter((daemon) => daemon.dataCentre === dataCentre);
  const far = all.filter((daemon) => daemon.dataCentre !== dataCentre);
  const addresses = [...near, ...far].map(({ callerAddress }) => callerAddress);
  return addresses.slice(0, MAXIMUM_ADDRESSES);
}

/**
 * Selects the daemon addresses that a caller gets from the directory.
 *
 * Callers use at most 64 addresses, and spread their requests over those that they get. With the same order of daemons for
 * all callers, the first of 195 daemons in six data centres got 3.1 times the mean of the requests, and half of all
 * requests entered in another data centre than their caller's; with 390 daemons, no caller knew a daemon of another data
 * centre. With a selection for each caller, the largest share is 1.3 times the mean at both sizes, and a third and a
 * quarter of the requests enter in another data centre (calculated for 30 callers in each data centre).
 */
import { rendezvousOrder, rendezvousPick } from '../routing/rendezvous.js';
import type { HomeRegions } from '../routes/homeRegions.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/** What a directory answer depends on. */
export interface DirectoryQuery {
  /** The registered daemons to select from; may include this daemon. */
  readonly daemons: readonly DaemonEntry[];
  /** This daemon's entry, or `undefined` while it accepts no new callers. */
  readonly own: DaemonEntry | undefined;
  /** The caller's data centre, if it names one. */
  readonly dataCentre: string | undefined;
  /** The caller's region, if it names one. */
  readonly region?: string | undefined;
  /** Home regions of the host that the caller asks for; `undefined` allows all regions. */
  readonly homeRegions?: HomeRegions;
  /** Returns the region of a data centre, if it is known. */
  readonly regionOf?: (dataCentre: string) => string | undefined;
  /** The caller's IP address, by which different callers get different addresses in a large fleet. */
  readonly caller?: string | undefined;
}

/** Most addresses that callers use. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Number of daemons of other data centres in each answer. A caller whose whole data centre is lost reaches one of them long
 * before its answer expires: after the loss of 32 near daemons two of three connections fail, but each caller gets through.
 */
const FAR_ADDRESS_COUNT = 16;

/** Picks up to `count` daemons by rendezvous hashing of the caller; if there are no more than that, all in list order. */
function pickForCaller(
  daemons: readonly DaemonEntry[],
  count: number,
  caller: string,
): DaemonEntry[] {
  if (daemons.length <= count) return [...daemons];
  const named = daemons.map((daemon) => ({ id: daemon.name, daemon }));
  const ordered = rendezvousOrder(caller, named).map(({ daemon }) => daemon);
  return ordered.slice(0, count);
}

/**
 * Picks daemons of other data centres. Hashing assigns each daemon to one other data centre as a backup, so that no daemon
 * gets the callers of several data centres besides its own, and one that comes or goes does not change the assignment of
 * the others. If the backups are too few, other far daemons fill up the answer.
 */
function pickFarDaemons(
  far: readonly DaemonEntry[],
  dataCentre: string,
  caller: string,
): DaemonEntry[] {
  if (far.length <= FAR_ADDRESS_COUNT) return [...far];
  const dataCentres = [...new Set([...far.map((daemon) => daemon.dataCentre), dataCentre])];
  const isBackup = ({ name, dataCentre: own }: DaemonEntry) => {
    const others = dataCentres.filter((other) => other !== own).map((id) => ({ id }));
    return rendezvousPick(name, others)?.id === dataCentre;
  };
  const backups = pickForCaller(far.filter(isBackup), FAR_ADDRESS_COUNT, caller);
  const others = far.filter((daemon) => !backups.includes(daemon));
  return [...backups, ...pickForCaller(others, FAR_ADDRESS_COUNT - backups.length, caller)];
}

/**
 * Restricts the daemons to the host's home regions and the caller's own region. If there is no daemon in any of them, all
 * daemons are returned: a daemon elsewhere is better than none, since it forwards only to runners in the home regions.
 */
function restrictToHomeRegions(
  daemons: readonly DaemonEntry[],
  { homeRegions, region, regionOf = () => undefined }: DirectoryQuery,
): readonly DaemonEntry[] {
  if (homeRegions === undefined) return daemons;
  const allowed = new Set([...homeRegions, region]);
  const atHome = daemons.filter(({ dataCentre }) => {
    const place = regionOf(dataCentre);
    return place !== undefined && allowed.has(place);
  });
  return atHome.length > 0 ? atHome : daemons;
}

/**
 * Selects the daemons of the caller's data centre and some of other data centres; all daemons if they are few. Callers
 * close open connections to addresses that a new answer no longer contains, so the selection is the same each time and at
 * each daemon.
 *
 * @param question - the daemons, and what is known of the caller.
 * @returns Caller addresses of the selected daemons, those of the caller's data centre first; empty if there are none.
 */
export function selectAddresses(question: DirectoryQuery): string[] {
  const { daemons, own, dataCentre = '', caller = '' } = question;
  const others = daemons.filter(({ name }) => name !== own?.name);
  const all = restrictToHomeRegions(own ? [own, ...others] : others, question);
  const near = all.filter((daemon) => daemon.dataCentre === dataCentre);
  const far = all.filter((daemon) => daemon.dataCentre !== dataCentre);
  const hasNear = near.length > 0;
  const farTaken = hasNear
    ? pickFarDaemons(far, dataCentre, caller)
    : pickForCaller(far, MAXIMUM_ADDRESSES, caller);
  const nearTaken = pickForCaller(near, MAXIMUM_ADDRESSES - farTaken.length, caller);
  return [...nearTaken, ...farTaken].map(({ callerAddress }) => callerAddress);
}

/**
 * Which addresses callers should use.
 *
 * What goes wrong without a choice: callers take 64 addresses at most, and spread over those that they get. With the
 * listed daemons in one order for everybody, 195 daemons in six data centres had 3.1 times the mean of the requests at
 * the first of the list, and half of all requests entered far from their caller; with 390, no caller knew a daemon of
 * another data centre. Now the largest share is 1.3 times the mean at both sizes, and a third and a quarter of the
 * requests enter elsewhere (reckoned for 30 callers in each data centre).
 */
import { rendezvousOrder, rendezvousPick } from '../routing/rendezvous.js';
import type { HomeRegions } from '../routes/homes.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/** What the answer depends on. */
export interface DirectoryQuestion {
  /** Daemons that are registered, with this one or without. */
  readonly daemons: readonly DaemonEntry[];
  /** This daemon, as long as it takes requests. */
  readonly own: DaemonEntry | undefined;
  /** Where the caller is, if it says so. */
  readonly dataCentre: string | undefined;
  /** The caller's region, if it says so. */
  readonly region?: string | undefined;
  /** Regions that are a home of what the caller asks for; `undefined` where all will do. */
  readonly homeRegions?: HomeRegions;
  /** Region of a data centre. */
  readonly regionOf?: (dataCentre: string) => string | undefined;
  /** Tells callers apart where not all get the same addresses: the caller's host. */
  readonly caller?: string | undefined;
}

/** Callers take no more addresses than this. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Daemons of other data centres in each answer. All near ones may be lost at once, and a caller finds one of these long
 * before its answer is too old: after the loss of 32 near ones two of three connections fail, none for good.
 */
const FAR_ADDRESSES = 16;

/** Takes some of the daemons, other ones for each caller; all in the order of the list where they are few. */
function takeSome(daemons: readonly DaemonEntry[], count: number, caller: string): DaemonEntry[] {
  if (daemons.length <= count) return [...daemons];
  const named = daemons.map((daemon) => ({ id: daemon.name, daemon }));
  const ordered = rendezvousOrder(caller, named).map(({ daemon }) => daemon);
  return ordered.slice(0, count);
}

/**
 * Spreads the daemons over the data centres that they are far from, so that none serves the callers of several as well
 * as its own, and one that comes or goes changes nothing for the others.
 */
function takeFar(far: readonly DaemonEntry[], dataCentre: string, caller: string): DaemonEntry[] {
  if (far.length <= FAR_ADDRESSES) return [...far];
  const places = [...new Set([...far.map((daemon) => daemon.dataCentre), dataCentre])];
  const isSpare = ({ name, dataCentre: own }: DaemonEntry) => {
    const others = places.filter((place) => place !== own).map((id) => ({ id }));
    return rendezvousPick(name, others)?.id === dataCentre;
  };
  const spares = takeSome(far.filter(isSpare), FAR_ADDRESSES, caller);
  const others = far.filter((daemon) => !spares.includes(daemon));
  return [...spares, ...takeSome(others, FAR_ADDRESSES - spares.length, caller)];
}

/**
 * A caller of what has homes connects within them or within its own region; where no daemon is left there, one elsewhere
 * is better than none: it passes requests on to runners of the homes only.
 */
function takeAtHome(
  daemons: readonly DaemonEntry[],
  { homeRegions, region, regionOf = () => undefined }: DirectoryQuestion,
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
 * Gives the daemons of the caller's data centre and some others; all of them where they are few. Callers drop open
 * connections to addresses that a new answer lacks, so that the choice is the same each time, whichever daemon is asked.
 *
 * @param question - the daemons, and the caller's place.
 * @returns Addresses for callers, the near ones first; empty when there is none.
 */
export function addressesFor(question: DirectoryQuestion): string[] {
  const { daemons, own, dataCentre = '', caller = '' } = question;
  const others = daemons.filter(({ name }) => name !== own?.name);
  const all = takeAtHome(own ? [own, ...others] : others, question);
  const near = all.filter((daemon) => daemon.dataCentre === dataCentre);
  const far = all.filter((daemon) => daemon.dataCentre !== dataCentre);
  const hasNear = near.length > 0;
  const farTaken = hasNear
    ? takeFar(far, dataCentre, caller)
    : takeSome(far, MAXIMUM_ADDRESSES, caller);
  const nearTaken = takeSome(near, MAXIMUM_ADDRESSES - farTaken.length, caller);
  return [...nearTaken, ...farTaken].map(({ callerAddress }) => callerAddress);
}

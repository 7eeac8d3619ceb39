/**
 * Which daemons of a large fleet coordinate the others: they count requests, choose runners and read the store for
 * them. Everything that they do any daemon does by itself while it hears of none.
 *
 * The load that it answers: in a large fleet a daemon has less than one request at a runner, and counts that all tell all
 * are a second old. Daemons would choose the same few runners at the same moment, and each would read the store.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/**
 * Daemons up to which all tell all what they have: there a daemon tells the others each 100 to 200 ms, which is as
 * good as a coordinator's count, and a request waits for nobody.
 */
const LARGEST_FLEET_WITHOUT = 16;

/** Bounds the questions and the news that one coordinator takes. */
const DAEMONS_A_COORDINATOR = 20;

/** With three of them two can be lost or frozen at once. */
const FEWEST = 3;

/**
 * Those that hear from all daemons, coordinators or not: where all of them are lost at once, it takes twice as long until
 * the others learn who has died. Each of them gets a message of every daemon, several times a second.
 */
const FEWEST_WATCHERS = 5;

/**
 * So many of the coordinators read the store for all. A change has to reach everybody while some of them are cut off; where
 * all are, daemons read the store themselves. What each of them tells goes to every daemon, and more of them fill links.
 */
const READERS = 4;

/** All daemons order the others by the same name. */
const ORDER_KEY = 'coordinators';

/** A coordinator sends what it has read to everybody: those with the widest links go first, whatever else they do. */
function linkOf({ linkMegabits = 0 }: DaemonEntry): number {
  return linkMegabits;
}

function countFor(daemons: readonly DaemonEntry[]): number {
  return Math.max(FEWEST, Math.ceil(daemons.length / DAEMONS_A_COORDINATOR));
}

/**
 * How many there are follows from the list: daemons that differ for a moment in who is alive still agree whether the
 * fleet has coordinators.
 *
 * @param daemons - that are listed.
 * @param isOut - whether a daemon has died or stops; the next one takes its place.
 * @returns Those that all daemons send their news, the coordinators first; none in a small fleet.
 */
export function watchersOf(
  daemons: readonly DaemonEntry[],
  isOut: (name: string) => boolean = () => false,
): DaemonEntry[] {
  if (daemons.length <= LARGEST_FLEET_WITHOUT) return [];
  const count = Math.max(FEWEST_WATCHERS, countFor(daemons));
  const living = daemons.filter(({ name }) => !isOut(name));
  const named = living.map((daemon) => ({ id: daemon.name, daemon }));
  return rendezvousOrder(ORDER_KEY, named)
    .map(({ daemon }) => daemon)
    .sort((a, b) => linkOf(b) - linkOf(a))
    .slice(0, count);
}

/**
 * @param watchers - of the fleet.
 * @param daemons - that are listed.
 * @returns Those of the watchers that coordinate.
 */
export function coordinatorsAmong(
  watchers: readonly DaemonEntry[],
  daemons: readonly DaemonEntry[],
): DaemonEntry[] {
  return watchers.slice(0, countFor(daemons));
}

/**
 * @param daemons - that are listed.
 * @param isOut - whether a daemon has died or stops; the next one takes its place.
 * @returns The coordinators; none in a small fleet.
 */
export function coordinatorsOf(
  daemons: readonly DaemonEntry[],
  isOut?: (name: string) => boolean,
): DaemonEntry[] {
  return coordinatorsAmong(watchersOf(daemons, isOut), daemons);
}

/**
 * @param watchers - of the fleet.
 * @returns Those that tell all others whom they have found silent.
 */
export function tellersOf(watchers: readonly DaemonEntry[]): readonly DaemonEntry[] {
  return watchers.slice(0, READERS);
}

/**
 * @param coordinators - of the fleet.
 * @returns Those that read the store for all daemons, the other coordinators too.
 */
export function readersOf(coordinators: readonly DaemonEntry[]): readonly DaemonEntry[] {
  return coordinators.slice(0, READERS);
}

/**
 * @param coordinators - of the fleet.
 * @param key - the shared parts of a prompt, or a service.
 * @returns The coordinators in the order in which they are asked for a runner of such a request.
 */
export function askedInOrder(coordinators: readonly DaemonEntry[], key: string): DaemonEntry[] {
  const named = coordinators.map((daemon) => ({ id: daemon.name, daemon }));
  return rendezvousOrder(key, named).map(({ daemon }) => daemon);
}

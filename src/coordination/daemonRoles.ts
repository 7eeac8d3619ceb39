/**
 * Assigns the roles of a large fleet: coordinators count requests, choose runners and read the store for all other
 * daemons. A daemon that receives nothing from them does all of this itself.
 *
 * Why they exist: in a large fleet a daemon has less than one request at a runner, and if every daemon reports to
 * every other one, the reported counts are a second old. Daemons would choose the same few runners at the same moment,
 * and each of them would read the store.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/**
 * Largest fleet without coordinators, in daemons. Up to this size every daemon reports to every other one each 100 to
 * 200 ms, which is as good as a coordinator's count, and no request waits for a coordinator.
 */
const LARGEST_FLEET_WITHOUT_COORDINATORS = 16;

/** Daemons per coordinator; limits the questions and load reports that one coordinator receives. */
const DAEMONS_PER_COORDINATOR = 20;

/** Fewest coordinators of a large fleet: with three, two can be lost or frozen at once. */
const FEWEST_COORDINATORS = 3;

/**
 * Fewest monitors, the daemons that receive load reports from all others, whether or not they coordinate. If all of
 * them are lost at once, the others take twice as long to learn which daemons have died. Each monitor gets several
 * messages a second from every daemon.
 */
const FEWEST_MONITORS = 5;

/**
 * Number of coordinators that read the store for all and broadcast its changes, and of monitors that broadcast which
 * daemons are unresponsive. A change has to reach all daemons while some of these coordinators are cut off; if all
 * are, daemons read the store themselves. Each broadcast goes to every daemon, so more of them would fill network
 * links.
 */
const STORE_READERS = 4;

/** Key of the rendezvous order of daemons, the same in all of them. */
const ORDER_KEY = 'coordinators';

/** Bandwidth of a daemon's link. Store readers broadcast to all daemons, so those with the widest links come first. */
function linkBandwidthOf({ linkMegabits = 0 }: DaemonEntry): number {
  return linkMegabits;
}

function coordinatorCountFor(daemons: readonly DaemonEntry[]): number {
  return Math.max(FEWEST_COORDINATORS, Math.ceil(daemons.length / DAEMONS_PER_COORDINATOR));
}

/**
 * Returns the monitors: the daemons that all daemons send their load reports to. Their number depends on the listed
 * daemons only, so that daemons which disagree briefly about who is alive still agree whether the fleet has
 * coordinators.
 *
 * @param daemons - all listed daemons.
 * @param isOut - whether a daemon is dead or shutting down; the next one in order takes its place.
 * @returns The monitors, with the coordinators first; empty in a small fleet.
 */
export function monitorsOf(
  daemons: readonly DaemonEntry[],
  isOut: (name: string) => boolean = () => false,
): DaemonEntry[] {
  if (daemons.length <= LARGEST_FLEET_WITHOUT_COORDINATORS) return [];
  const count = Math.max(FEWEST_MONITORS, coordinatorCountFor(daemons));
  const living = daemons.filter(({ name }) => !isOut(name));
  const named = living.map((daemon) => ({ id: daemon.name, daemon }));
  return rendezvousOrder(ORDER_KEY, named)
    .map(({ daemon }) => daemon)
    .sort((a, b) => linkBandwidthOf(b) - linkBandwidthOf(a))
    .slice(0, count);
}

/**
 * @param monitors - the fleet's monitors.
 * @param daemons - all listed daemons.
 * @returns The monitors that coordinate.
 */
export function coordinatorsAmong(
  monitors: readonly DaemonEntry[],
  daemons: readonly DaemonEntry[],
): DaemonEntry[] {
  return monitors.slice(0, coordinatorCountFor(daemons));
}

/**
 * @param daemons - all listed daemons.
 * @param isOut - whether a daemon is dead or shutting down; the next one in order takes its place.
 * @returns The coordinators; empty in a small fleet.
 */
export function coordinatorsOf(
  daemons: readonly DaemonEntry[],
  isOut?: (name: string) => boolean,
): DaemonEntry[] {
  return coordinatorsAmong(monitorsOf(daemons, isOut), daemons);
}

/**
 * @param monitors - the fleet's monitors.
 * @returns The monitors that broadcast which daemons are unresponsive.
 */
export function broadcastersOf(monitors: readonly DaemonEntry[]): readonly DaemonEntry[] {
  return monitors.slice(0, STORE_READERS);
}

/**
 * @param coordinators - the fleet's coordinators.
 * @returns The coordinators that read the store for all daemons, other coordinators included.
 */
export function storeReadersOf(coordinators: readonly DaemonEntry[]): readonly DaemonEntry[] {
  return coordinators.slice(0, STORE_READERS);
}

/**
 * @param coordinators - the fleet's coordinators.
 * @param key - the shared parts of a prompt, or the name of a service.
 * @returns The coordinators in the order in which they are asked for a runner of such a request.
 */
export function coordinatorsInOrder(
  coordinators: readonly DaemonEntry[],
  key: string,
): DaemonEntry[] {
  const named = coordinators.map((daemon) => ({ id: daemon.name, daemon }));
  return rendezvousOrder(key, named).map(({ daemon }) => daemon);
}

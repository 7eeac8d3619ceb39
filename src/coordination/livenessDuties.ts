/**
 * Assigns the failure detector's duties in the fleet: which daemons a daemon monitors, which ones it asks for indirect
 * probes, and whether it broadcasts which daemons are unresponsive.
 */
import type { LivenessDuties } from '../liveness/livenessTypes.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { broadcastersOf } from './daemonRoles.js';

/** What a daemon's duties are derived from. */
export interface LivenessDutiesInput {
  /** The daemon's name. */
  readonly daemon: string;
  /** All listed daemons. */
  readonly listed: readonly DaemonEntry[];
  /** The fleet's monitors as the daemon knows them; empty in a small fleet. */
  readonly monitors: readonly DaemonEntry[];
}

function namesOf(daemons: readonly DaemonEntry[]): string[] {
  return daemons.map(({ name }) => name);
}

/**
 * Derives the duties of one daemon. In a small fleet every daemon monitors every other one. In a large fleet only the
 * monitors do, using the load reports that all daemons send them anyway, and the first few of them broadcast which
 * daemons are unresponsive. All daemons monitor these broadcasters, since no other daemon would report their failure.
 *
 * @param place - the daemon and the fleet's roles.
 * @returns Its duties.
 */
export function livenessDuties({ daemon, listed, monitors }: LivenessDutiesInput): LivenessDuties {
  const all = namesOf(listed);
  if (monitors.length === 0) {
    return { listed: all, watched: all, witnesses: all, tellers: [], isTelling: false };
  }
  const broadcasters = namesOf(broadcastersOf(monitors));
  const monitorNames = namesOf(monitors);
  if (monitorNames.includes(daemon)) {
    const isTelling = broadcasters.includes(daemon);
    return { listed: all, watched: all, witnesses: monitorNames, tellers: [], isTelling };
  }
  return {
    listed: all,
    watched: broadcasters,
    witnesses: all,
    tellers: broadcasters,
    isTelling: false,
  };
}

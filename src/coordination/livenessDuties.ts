/**
 * Who watches whom in the fleet, and who tells the others whom it has found silent.
 */
import type { LivenessDuties } from '../liveness/livenessTypes.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { tellersOf } from './coordinatorsOf.js';

/** What the duties of a daemon follow from. */
export interface LivenessPlace {
  /** Its name. */
  readonly daemon: string;
  /** All listed daemons. */
  readonly listed: readonly DaemonEntry[];
  /** Those that hear from all daemons, as it knows them; none in a small fleet. */
  readonly watchers: readonly DaemonEntry[];
}

function namesOf(daemons: readonly DaemonEntry[]): string[] {
  return daemons.map(({ name }) => name);
}

/**
 * In a small fleet all hear all. In a large one a few do, by the news that all send them anyway, and the first of them
 * tell the others whom they do not hear. All watch these: nobody else would tell of them.
 *
 * @param place - of a daemon.
 * @returns Its duties.
 */
export function livenessDuties({ daemon, listed, watchers }: LivenessPlace): LivenessDuties {
  const all = namesOf(listed);
  if (watchers.length === 0) {
    return { listed: all, watched: all, witnesses: all, tellers: [], isTelling: false };
  }
  const tellers = namesOf(tellersOf(watchers));
  const witnesses = namesOf(watchers);
  if (witnesses.includes(daemon)) {
    const isTelling = tellers.includes(daemon);
    return { listed: all, watched: all, witnesses, tellers: [], isTelling };
  }
  return { listed: all, watched: tellers, witnesses: all, tellers, isTelling: false };
}

/**
 * The order of a planned stop.
 *
 * What goes wrong otherwise: connections are closed while callers still send on them, or requests are taken
 * that cannot finish in the time left. One would see requests ended without an answer around each restart.
 * First the daemon only becomes unknown (not ready, out of the directory) and ends each connection with its
 * next answer; then it refuses what is new; it is gone once nothing is in progress.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { CallerFront } from '../forwarding/CallerFront.js';
import type { StopPhase } from '../forwarding/forwardingTypes.js';
import type { Clock } from '../time/Clock.js';
import type { RouterSettings } from './routerFeature.js';

/** What a planned stop works on. */
export interface PlannedStopOptions {
  front: Pick<CallerFront, 'inFlight' | 'close'>;
  clock: Clock;
  setPhase: (phase: StopPhase) => void;
  settings: Pick<RouterSettings, 'stopSeconds'>;
}

/** New requests are taken for this share of the time: callers have stopped coming by then. */
const LEAVING_SHARE = 0.35;

/** The process has to be out before the platform ends it. */
const LATEST_SHARE = 0.93;

const CHECK_MILLISECONDS = 25;

/**
 * @param options - the front, and how its phase is set.
 * @returns Once no request is in progress, or the time is up.
 */
export async function plannedStop({
  front,
  clock,
  setPhase,
  settings,
}: PlannedStopOptions): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  const grace = settings.stopSeconds * 1_000;
  const elapsed = () => clock.monotonicMilliseconds() - startedAt;
  setPhase('leaving');
  while (elapsed() < grace * LEAVING_SHARE) await wait(CHECK_MILLISECONDS);
  setPhase('closing');
  while (front.inFlight > 0 && elapsed() < grace * LATEST_SHARE) await wait(CHECK_MILLISECONDS);
  front.close();
}

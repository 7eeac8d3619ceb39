/**
 * The planned stop of a daemon: the phases in which it drains its callers.
 *
 * Without this order, connections would be closed while callers still send on them, and requests would be accepted that
 * cannot finish in the time left. Either shows as requests that end without an answer around each restart. The daemon
 * therefore first stops being found (it is not ready and not in the directory) and ends each connection with its next
 * answer, then refuses new requests, and closes once no request is in progress. What cannot end in the time left is answered
 * before that.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { ForwardingServer } from '../forwarding/ForwardingServer.js';
import type { StopPhase } from '../forwarding/forwardingTypes.js';
import type { HandOverParts } from '../handover/HandOverParts.js';
import type { Clock } from '../time/Clock.js';
import type { RouterSettings } from './routerFeature.js';

/** Options of {@link runPlannedStop}. */
export interface PlannedStopOptions {
  front: Pick<ForwardingServer, 'inFlight' | 'close' | 'endRemaining'>;
  /** Requests that other daemons have handed over. */
  handedOver: Pick<HandOverParts, 'inProgress' | 'endRemaining'>;
  clock: Clock;
  setPhase: (phase: StopPhase) => void;
  settings: Pick<RouterSettings, 'stopSeconds'>;
}

/** Part of the stop time during which new requests are still accepted; by its end callers have stopped coming. */
const LEAVING_PHASE_SHARE = 0.35;

/** Part of the stop time after which the daemon closes in any case, so that the process ends before the platform kills it. */
const CLOSING_DEADLINE_SHARE = 0.93;

/** Part of the stop time that the last answers have to leave the process. */
const LAST_ANSWERS_SHARE = 0.03;

/** Between two checks of the time and of the requests in progress, in ms. */
const POLL_INTERVAL_MILLISECONDS = 25;

/**
 * Drains and closes the callers' side of a daemon.
 *
 * @param options - the callers' side, the clock, and what sets the phase of the stop.
 * @returns Resolves once no request is in progress or the time is up.
 */
export async function runPlannedStop({
  front,
  handedOver,
  clock,
  setPhase,
  settings,
}: PlannedStopOptions): Promise<void> {
  const startedAt = clock.monotonicMilliseconds();
  const grace = settings.stopSeconds * 1_000;
  const elapsed = () => clock.monotonicMilliseconds() - startedAt;
  setPhase('leaving');
  while (elapsed() < grace * LEAVING_PHASE_SHARE) await wait(POLL_INTERVAL_MILLISECONDS);
  setPhase('closing');
  const untilServed = async (share: number) => {
    const isServing = () => front.inFlight + handedOver.inProgress > 0;
    while (isServing() && elapsed() < grace * share) await wait(POLL_INTERVAL_MILLISECONDS);
  };
  await untilServed(CLOSING_DEADLINE_SHARE);
  front.endRemaining();
  handedOver.endRemaining();
  await untilServed(CLOSING_DEADLINE_SHARE + LAST_ANSWERS_SHARE);
  front.close();
}

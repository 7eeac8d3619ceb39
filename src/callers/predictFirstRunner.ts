/**
 * Predicts the runner that the placement of requests would choose first for the next request of a chat.
 *
 * The prediction ignores loads, and the placement may choose another runner a moment later. A wrong prediction
 * costs the request one hop.
 */
import type { FleetRunner } from '../fleet/FleetView.js';
import { weightedOrder } from '../routing/weightedOrder.js';

/** Input of the prediction. */
export interface FirstRunnerInput {
  /** Name of the chat, unique in the fleet. */
  readonly chat: string;
  /** Region of the daemon that predicts. */
  readonly region: string;
  /** Data centre of the daemon that predicts. */
  readonly dataCentre: string;
  /** All runners of the service, in any state. */
  readonly runners: readonly FleetRunner[];
  /** Ids of the runners where the chat is warm, those with the most cached tokens first. */
  readonly warm: readonly string[];
}

/** The predicted runner and the reason. */
export interface FirstRunnerPrediction {
  readonly runnerId: string;
  readonly why: 'warm' | 'hash_order';
}

/** Distance of a runner: 0 in the same data centre, 1 in the same region, 2 elsewhere. */
function distanceOf({ record }: FleetRunner, { region, dataCentre }: FirstRunnerInput): number {
  if (record.region !== region) return 2;
  return record.dataCentre === dataCentre ? 0 : 1;
}

/**
 * Predicts the first runner of a chat.
 *
 * @param input - the chat, the location of this daemon and the runners.
 * @returns The live runner with the most cached tokens, otherwise the first in hash order of the nearest live
 *   runners; `undefined` when no runner is live.
 */
export function predictFirstRunner(input: FirstRunnerInput): FirstRunnerPrediction | undefined {
  const live = input.runners.filter(({ state }) => state === 'live');
  const warm = input.warm.find((id) => live.some((runner) => runner.id === id));
  if (warm !== undefined) return { runnerId: warm, why: 'warm' };
  const nearest = Math.min(...live.map((runner) => distanceOf(runner, input)));
  const near = live
    .filter((runner) => distanceOf(runner, input) === nearest)
    .map(({ id, record }) => ({ id, accelerators: record.accelerators }));
  const [first] = weightedOrder(input.chat, near, 1);
  return first && { runnerId: first.id, why: 'hash_order' };
}

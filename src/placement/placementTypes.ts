/**
 * Types of placement by expected completion.
 */
import type { Runner } from '../runners/Runner.js';
import type { SpillAlternatives } from './SpillCost.js';

/** The runner that a request would get now, and the time that it would need there. */
export interface PlacementEstimate {
  readonly runner: Runner;
  /** What the request has to read there and in its own data centre. */
  readonly alternatives: SpillAlternatives;
  /** Prompt tokens that the runner would have to read; missing for a plain request. */
  readonly unreadTokens?: number | undefined;
  /** Time until the runner can begin with the request, in ms. */
  readonly backlogMilliseconds: number;
  /** Time until the first event or the answer, with the network distance, in ms. */
  readonly expectedMilliseconds: number;
}

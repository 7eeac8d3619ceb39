/**
 * Dependencies that all requests of a daemon share: the ports to other features, the retry budget
 * and the settings.
 */
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { GatePort } from '../gates/GatePort.js';
import type { HomePort } from '../homes/HomePort.js';
import type { Log } from '../logging/Log.js';
import type { SignedTokens } from '../peers/SignedTokens.js';
import type { Clock } from '../time/Clock.js';
import type { RunnerChooser } from './RunnerChooser.js';
import type { RequestAction, RequestMessage } from './requestDecisionTypes.js';
import type { RequestTimings } from './requestTimings.js';
import type { RetryBudget } from './RetryBudget.js';

/** Dependencies shared by all requests of a daemon. */
export interface RequestDependencies {
  readonly gates: GatePort;
  readonly homes: HomePort;
  readonly fleet: FleetView;
  readonly chooser: RunnerChooser;
  readonly tokens: SignedTokens;
  readonly clock: Clock;
  readonly log: Log;
  readonly budget: RetryBudget;
  readonly timings: RequestTimings;
  readonly maximumBufferedBytes: number;
  /** Records a session; called for each step of each request. */
  readonly record?: (requestId: string, step: DecisionStep<RequestMessage, RequestAction>) => void;
}

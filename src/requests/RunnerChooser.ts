/**
 * Port through which the owner of a request asks the routing decisions for a runner.
 */
import type { WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import type { LogFields } from '../logging/Log.js';
import type { AttemptPurpose, TriedRunner } from './requestDecisionTypes.js';
import type { CallerRequest } from './requestTypes.js';

/** Input of a choice, besides what the chooser knows about the fleet. */
export interface RunnerChoiceInput {
  readonly request: CallerRequest;
  /** Runners that have a prefix of the chat cached, as reported by the chat's home. */
  readonly warm: readonly WarmRunner[];
  /** Runners that have been tried, in order. */
  readonly tried: readonly TriedRunner[];
  readonly purpose: AttemptPurpose;
  /** Time left for the request, in milliseconds. */
  readonly deadlineMilliseconds: number;
}

/** The runner for a request, or the reason why none was found. */
export type RunnerChoice =
  | {
      readonly kind: 'chosen';
      readonly runnerId: string;
      /** Prompt tokens that are assumed to be cached at the runner. */
      readonly cachedTokens: number;
      /** Maximum load of a runner, as a multiple of the pool's mean load. */
      readonly bound: number;
      /**
       * Whether the gate has to queue the request instead of refusing it for the bound, because
       * no other runner is left.
       */
      readonly lastChoice: boolean;
      /** Log fields: what was chosen, which runners were passed over, and why. */
      readonly explanation: LogFields;
    }
  | {
      readonly kind: 'nobody';
      readonly message: string;
      readonly retryAfterMilliseconds: number;
      readonly explanation: LogFields;
    };

/** Chooses the runner for an attempt. */
export abstract class RunnerChooser {
  /**
   * @param question - the request, the warm runners and the runners tried so far.
   * @returns The runner, or why there is none.
   */
  abstract choose(question: RunnerChoiceInput): RunnerChoice;
}

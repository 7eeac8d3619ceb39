/**
 * Messages into and actions out of a pool's roll-out decisions. All of it is JSON data, so that sessions can be
 * recorded.
 */
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import type { OrderResult, UpstreamOrder } from '../upstreams/Upstream.js';
import type { Authority } from './leaseTypes.js';
import type { LoadReadResult, PoolPicture, RolloutPicture, StateReadResult } from './poolTypes.js';
import type chart from './rollout.chart.json';

/** States of `rollout.chart.json`: the phase of one runner. */
export type RunnerPhase = StateOf<typeof chart>;

/** Events of `rollout.chart.json`. */
export type RunnerEvent = EventOf<typeof chart>;

/** Result of an order; `not_sent` if it was not sent because the lease had expired. */
export type OrderEnd = OrderResult | { readonly kind: 'not_sent' };

/** Result of a change of the configuration. */
export type ChangeEnd =
  | { readonly kind: 'accepted'; readonly revision: number }
  /** Nothing was changed, or it is unknown what was; the next picture of the pool shows it. */
  | { readonly kind: 'failed'; readonly reason: string };

/** A change of the state of the roll-out itself. */
export interface RolloutStep {
  /** The state on which the decision was based. The change is refused if the platform has another one. */
  readonly before: Pick<RolloutPicture, 'state' | 'finishedDataCentres'>;
  readonly after: Pick<RolloutPicture, 'state' | 'finishedDataCentres'>;
  readonly reason: string;
  /** The service's new wanted version, if the roll-out ends with this step. */
  readonly wantedVersion?: string;
}

/** Input of the roll-out decisions. `call` is the number of the action that is answered. */
export type RolloutMessage =
  | { readonly kind: 'tick' }
  /** Authority under the lease; missing while the lease is not held. */
  | { readonly kind: 'authority'; readonly authority?: Authority }
  | { readonly kind: 'pool'; readonly picture: PoolPicture }
  | {
      readonly kind: 'state_read';
      readonly call: number;
      readonly runnerId: string;
      readonly reading: StateReadResult;
    }
  | {
      readonly kind: 'load_read';
      readonly call: number;
      readonly runnerId: string;
      readonly reading: LoadReadResult;
    }
  | {
      readonly kind: 'order_ended';
      readonly call: number;
      readonly runnerId: string;
      readonly end: OrderEnd;
    }
  | { readonly kind: 'change_ended'; readonly call: number; readonly end: ChangeEnd };

/** Names of the log events that the decisions write; defined in ordersFeature.ts. */
export type RolloutLogEvent =
  | 'orderGiven'
  | 'orderEnded'
  | 'orderLate'
  | 'runnerFailed'
  | 'runnerSilent'
  | 'runnerDiffers'
  | 'runnersTaken'
  | 'rolloutHalted'
  | 'dataCentreFinished'
  | 'changeFailed';

/** Output of the roll-out decisions. */
export type RolloutAction =
  | { readonly kind: 'read_state'; readonly call: number; readonly runnerId: string }
  | { readonly kind: 'read_load'; readonly call: number; readonly runnerId: string }
  | {
      readonly kind: 'order';
      readonly call: number;
      readonly runnerId: string;
      readonly order: UpstreamOrder;
      readonly fencingToken: number;
      /** Monotonic time in milliseconds from which the order must not be sent. */
      readonly validUntil: number;
    }
  | {
      readonly kind: 'change';
      readonly call: number;
      readonly drains: readonly { readonly runnerId: string; readonly incarnation: number }[];
      readonly lifts: readonly string[];
      readonly rollout?: RolloutStep;
    }
  | {
      readonly kind: 'report';
      readonly event: RolloutLogEvent;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

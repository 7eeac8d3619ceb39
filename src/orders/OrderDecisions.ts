/**
 * Combines the decisions for one pool in one data centre: who holds the lease, and which orders are given.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import type { LeaseDecisionsOptions } from './LeaseDecisions.js';
import { LeaseDecisions } from './LeaseDecisions.js';
import type { LeaseMessage } from './leaseTypes.js';
import type { OrderAction, OrderMessage } from './orderTypes.js';
import type { RolloutDecisionsOptions } from './RolloutDecisions.js';
import { RolloutDecisions } from './RolloutDecisions.js';
import type { RolloutMessage } from './rolloutTypes.js';

/** Options of {@link OrderDecisions}. */
export interface OrderDecisionsOptions {
  lease: LeaseDecisionsOptions;
  rollout?: RolloutDecisionsOptions;
}

/** Decides on the lease of a pool and on the roll-out work under that lease. */
export class OrderDecisions extends Decisions<OrderMessage, OrderAction> {
  private readonly lease: LeaseDecisions;

  private readonly rollout: RolloutDecisions;

  /**
   * @param options - options of the lease decisions and of the roll-out decisions.
   */
  constructor({ lease, rollout }: OrderDecisionsOptions) {
    super();
    this.lease = new LeaseDecisions(lease);
    this.rollout = new RolloutDecisions(rollout);
  }

  override decide(now: number, message: OrderMessage): readonly OrderAction[] {
    const actions: OrderAction[] = [];
    const decideLease = (forwarded: LeaseMessage) =>
      actions.push(...this.lease.decide(now, forwarded));
    const decideRollout = (forwarded: RolloutMessage) =>
      actions.push(...this.rollout.decide(now, forwarded));
    if (message.kind === 'order_ended' && message.end.kind === 'refused_fencing') {
      decideLease({ kind: 'fenced' });
    }
    match(message)
      .with(
        { kind: 'pool' },
        { kind: 'state_read' },
        { kind: 'load_read' },
        { kind: 'order_ended' },
        { kind: 'change_ended' },
        (forwarded) => {
          // Lets the lease check the clock first, because no work may go on after the lease expired.
          decideLease({ kind: 'tick' });
          decideRollout(this.authorityMessage());
          decideRollout(forwarded);
        },
      )
      .otherwise((forwarded) => {
        decideLease(forwarded);
        decideRollout(this.authorityMessage());
      });
    return actions;
  }

  override nextWake(): number | undefined {
    const times = [this.lease.nextWake(), this.rollout.nextWake()].filter(
      (time) => time !== undefined,
    );
    return times.length > 0 ? Math.min(...times) : undefined;
  }

  /** @returns The lease's state and token, for the log and for tests. */
  leaseStatus(): { state: LeaseDecisions['state']; token: number | undefined } {
    return { state: this.lease.state, token: this.lease.authority?.token };
  }

  private authorityMessage(): RolloutMessage {
    const { authority } = this.lease;
    return { kind: 'authority', ...(authority && { authority }) };
  }
}

/**
 * Runs the decisions for one pool in one data centre and carries out their actions: calls to the platform's
 * store, calls to the engines and changes of the configuration. None of it is on the path of a request.
 */
import { match } from 'ts-pattern';

import { DecisionTask } from '../decisions/DecisionTask.js';
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { Log } from '../logging/Log.js';
import type { ChangeOutcome, ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { LeaseStore } from './LeaseStore.js';
import type { OrderDecisionsOptions } from './OrderDecisions.js';
import { OrderDecisions } from './OrderDecisions.js';
import { ordersLogEvents } from './ordersFeature.js';
import type { OrderAction, OrderMessage } from './orderTypes.js';
import type { PoolName } from './poolPicture.js';
import { candidateRank, poolPicture, mayHoldLeases } from './poolPicture.js';
import { rolloutEdits } from './rolloutEdits.js';
import type { ChangeEnd, OrderEnd, RolloutAction } from './rolloutTypes.js';
import { RunnerUpstreams } from './RunnerUpstreams.js';

/** If the wall clock gains this much on the monotonic clock, the instance was suspended; in milliseconds. */
const SUSPENSION_MILLISECONDS = 2_000;

/** Options of an {@link OrderTask}. */
export interface OrderTaskOptions {
  pool: PoolName;
  decisions: OrderDecisionsOptions;
  fleet: FleetView;
  store: PlatformStore;
  changes: ConfigurationChanges;
  /** Creates the connection to the runner at an address. */
  upstreamOf: (address: string) => Upstream;
  /** An order without an answer for this long has an unknown result; in milliseconds. */
  longestOrderMilliseconds: number;
  clock: Clock;
  log: Log;
  record?: (step: DecisionStep<OrderMessage, OrderAction>) => void;
}

function changeEnd(outcome: ChangeOutcome): ChangeEnd {
  return match(outcome)
    .with({ kind: 'accepted' }, ({ revision }) => ({ kind: 'accepted' as const, revision }))
    .with({ kind: 'conflict' }, () => ({
      kind: 'failed' as const,
      reason: 'another change came first',
    }))
    .with({ kind: 'invalid' }, ({ findings }) => ({
      kind: 'failed' as const,
      reason: findings.map(({ place, message }) => `${place.field}: ${message}`).join('; '),
    }))
    .with({ kind: 'unavailable' }, { kind: 'unsure' }, ({ message: reason }) => ({
      kind: 'failed' as const,
      reason,
    }))
    .exhaustive();
}

/** Task that holds one pool's lease, if it can, and brings the pool's runners to the wanted state. */
export class OrderTask extends DecisionTask<OrderMessage, OrderAction> {
  private readonly options: OrderTaskOptions;

  private readonly leaseStore: LeaseStore;

  private readonly upstreams: RunnerUpstreams;

  private changeNumber = 0;

  /** Wall clock minus monotonic clock at the last check, in milliseconds. */
  private clockOffset: number;

  /** Rank, fencing and picture at the last review, as JSON. */
  private lastReviewed = '';

  /**
   * @param options - the pool, the options of its decisions, and the services that its actions use.
   */
  constructor(options: OrderTaskOptions) {
    const { decisions, clock, record } = options;
    super({
      decisions: new OrderDecisions(decisions),
      clock,
      tick: { kind: 'tick' },
      ...(record && { record }),
    });
    this.options = options;
    this.leaseStore = new LeaseStore({ store: options.store, key: decisions.lease.key });
    this.upstreams = new RunnerUpstreams({ upstreamOf: options.upstreamOf });
    this.clockOffset = this.measureClockOffset();
  }

  /** Passes the view of the fleet to the decisions. Has to be called after each change and periodically. */
  review(): void {
    this.checkClocks();
    const { fleet, pool } = this.options;
    const picture = poolPicture(fleet, pool);
    const rank = mayHoldLeases(fleet) && picture ? candidateRank(fleet, pool) : -1;
    const checked = fleet.service(pool.service)?.checksFencing ?? false;
    // Skips unchanged pictures: most changes of the fleet concern other pools.
    const shown = JSON.stringify([rank, checked, picture]);
    if (shown === this.lastReviewed) return;
    this.lastReviewed = shown;
    this.send({ kind: 'lease_fencing', checked });
    this.send({ kind: 'lease_rank', rank });
    if (!picture) return;
    this.upstreams.retainRunners(fleet.runners(pool.service));
    this.send({ kind: 'pool', picture });
  }

  /** Releases the lease and stops. Calls in progress end by their own timeouts. */
  release(): void {
    this.send({ kind: 'release' });
    this.stop();
    this.upstreams.close();
  }

  protected override perform(action: OrderAction): void {
    match(action)
      .with({ kind: 'report' }, ({ event, fields }) =>
        this.options.log.write(ordersLogEvents[event], fields),
      )
      .with({ kind: 'read_lease' }, ({ call }) =>
        this.leaseStore.read().then((reading) => this.send({ kind: 'lease_read', call, reading })),
      )
      .with({ kind: 'grant_lease' }, ({ call, timeToLiveMilliseconds }) =>
        this.leaseStore
          .grant(timeToLiveMilliseconds)
          .then((term) => this.send({ kind: 'lease_term', call, term })),
      )
      .with({ kind: 'renew_lease' }, ({ call, leaseId }) =>
        this.leaseStore
          .renew(leaseId)
          .then((term) => this.send({ kind: 'lease_term', call, term })),
      )
      .with({ kind: 'write_lease' }, ({ call, leaseId, claim }) =>
        this.leaseStore
          .write(leaseId, claim)
          .then((writing) => this.send({ kind: 'lease_written', call, writing })),
      )
      .with({ kind: 'revoke_lease' }, ({ leaseId }) => this.leaseStore.revoke(leaseId))
      .with({ kind: 'read_state' }, (asked) => this.readState(asked))
      .with({ kind: 'read_load' }, (asked) => this.readLoad(asked))
      .with({ kind: 'order' }, (order) => this.order(order))
      .with({ kind: 'change' }, (change) => this.change(change))
      .exhaustive();
  }

  private async readState({ call, runnerId }: { call: number; runnerId: string }): Promise<void> {
    const reading = await this.upstreams
      .call(runnerId, (upstream) => upstream.readState())
      .then((state) => ({ kind: 'state' as const, state }))
      .catch((error: Error) => ({ kind: 'silent' as const, reason: error.message }));
    this.send({ kind: 'state_read', call, runnerId, reading });
  }

  private async readLoad({ call, runnerId }: { call: number; runnerId: string }): Promise<void> {
    const reading = await this.upstreams
      .call(runnerId, (upstream) => upstream.readLoad())
      .then(({ running, queued, ageMilliseconds }) => ({
        kind: 'load' as const,
        running,
        queued,
        ageMilliseconds,
      }))
      .catch((error: Error) => ({ kind: 'silent' as const, reason: error.message }));
    this.send({ kind: 'load_read', call, runnerId, reading });
  }

  private async order(action: Extract<RolloutAction, { kind: 'order' }>): Promise<void> {
    const { call, runnerId } = action;
    const end = await this.sendOrder(action);
    this.checkClocks();
    this.send({ kind: 'order_ended', call, runnerId, end });
  }

  /**
   * Sends an order unless the lease has expired. Between the decision and this check the process may have
   * been paused for longer than the lease was still valid; without the check, an engine would receive an
   * order of the old holder while the new holder already works on it. After the check only the write to the
   * socket remains.
   */
  private async sendOrder({
    runnerId,
    order,
    fencingToken,
    validUntil,
  }: Extract<RolloutAction, { kind: 'order' }>): Promise<OrderEnd> {
    this.checkClocks();
    if (this.clock.monotonicMilliseconds() >= validUntil) return { kind: 'not_sent' };
    const { longestOrderMilliseconds } = this.options;
    return this.upstreams
      .call(runnerId, (upstream) => upstream.order(order, fencingToken), longestOrderMilliseconds)
      .catch((error: Error) => ({ kind: 'unknown', message: error.message }));
  }

  private async change(action: Extract<RolloutAction, { kind: 'change' }>): Promise<void> {
    const { call } = action;
    const { changes, pool, decisions } = this.options;
    const edits = rolloutEdits(changes, pool, action);
    if ('refused' in edits) {
      this.send({ kind: 'change_ended', call, end: { kind: 'failed', reason: edits.refused } });
      return;
    }
    this.changeNumber += 1;
    const { changeNumber } = this;
    const wall = Math.floor(this.clock.wallMilliseconds());
    const change = {
      changeId: `orders:${decisions.lease.holder}:${wall}:${changeNumber}`,
      author: `orders@${decisions.lease.holder}`,
      comment: action.rollout?.reason ?? `roll-out of ${pool.service} in ${pool.dataCentre}`,
      edits,
    };
    // Errors become results too: the roll-out waits for the result of each change.
    const end = await changes
      .change(change)
      .then(changeEnd)
      .catch((error: Error) => ({ kind: 'failed' as const, reason: error.message }));
    this.send({ kind: 'change_ended', call, end });
  }

  /**
   * Detects that the instance was suspended. The monotonic clock of Linux stands still during a suspension,
   * so that a holder would resume with a lease that looks valid. The wall clock shows the gap. A wall clock
   * that was set forward looks the same and costs one lease.
   */
  private checkClocks(): void {
    const offset = this.measureClockOffset();
    const jumped = offset - this.clockOffset >= SUSPENSION_MILLISECONDS;
    this.clockOffset = offset;
    if (jumped) this.send({ kind: 'clock_jumped' });
  }

  private measureClockOffset(): number {
    return this.clock.wallMilliseconds() - this.clock.monotonicMilliseconds();
  }
}

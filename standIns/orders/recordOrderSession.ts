/**
 * Writes `golden/orders-paused-holder.jsonl` anew; look at the difference before you commit it.
 *
 * The sequence: a daemon holds the lease of a pool of engines that ignore fencing tokens, drains two runners
 * for a roll-out and sends its first orders. It is paused; meanwhile another daemon takes the lease. It
 * resumes with an answer to an order, stops by its own clock, and waits while the other one holds the lease.
 */
import { writeFile } from 'node:fs/promises';

import { formatSession } from '../../src/commands/session.js';
import type { DecisionStep } from '../../src/decisions/DecisionTask.js';
import type { UpstreamState } from '../../src/upstreams/Upstream.js';
import { OrderDecisions } from '../../src/orders/OrderDecisions.js';
import type { OrderAction, OrderMessage } from '../../src/orders/orderTypes.js';
import type { PoolPicture, PoolRunner } from '../../src/orders/poolTypes.js';

const OPTIONS = {
  lease: { key: 'leases/orders/tile-sales-assistant/rosario-1', holder: 'litoral-1#7' },
  rollout: { weightBytesPerSecond: 1_000_000_000, concurrentLoads: 2 },
};

const DELAY = 20;
const PAUSE_BEGINS = 62_000;
const PAUSE_ENDS = 122_000;
const END = 190_000;

type Step = DecisionStep<OrderMessage, OrderAction>;

/** Platform, engines and configuration as far as the sequence needs them. */
class Story {
  readonly steps: Step[] = [];

  private readonly decisions = new OrderDecisions(OPTIONS);

  private now = 0;

  private queue: { at: number; message: OrderMessage }[] = [];

  private revision = 30;

  private drained: readonly string[] = [];

  private claim: { holder: string; nonce: string } | undefined;

  private readonly states = new Map<string, UpstreamState>();

  /** Plays it. */
  play(): void {
    for (const id of ['engine-1', 'engine-2', 'engine-3', 'engine-4']) {
      const state = {
        model: 'tile-sales',
        versions: ['1'],
        adapters: [],
        role: 'mixed',
        loading: [],
      };
      this.states.set(id, state);
    }
    this.tell({ kind: 'lease_fencing', checked: false });
    this.tell({ kind: 'lease_rank', rank: 0 });
    this.tell({ kind: 'pool', picture: this.picture() });
    while (this.now < END) this.next();
  }

  private next(): void {
    const wake = this.decisions.nextWake() ?? Infinity;
    const [first] = [...this.queue].sort((a, b) => a.at - b.at);
    const due = Math.min(wake, first?.at ?? Infinity);
    const paused = due >= PAUSE_BEGINS && due < PAUSE_ENDS;
    if (paused && this.now < PAUSE_BEGINS) this.otherTakesOver();
    this.now = Math.max(this.now, paused ? PAUSE_ENDS : due);
    if (!first || first.at > this.now) {
      this.tell({ kind: 'tick' });
      return;
    }
    this.queue = this.queue.filter((each) => each !== first);
    this.tell(first.message);
  }

  /** While this daemon is paused its lease lapses and another daemon writes the key. */
  private otherTakesOver(): void {
    this.claim = { holder: 'litoral-2#3', nonce: 'litoral-2#3/1' };
    this.revision += 2;
  }

  private tell(message: OrderMessage): void {
    const actions = this.decisions.decide(this.now, message);
    this.steps.push({ at: this.now, message, actions });
    for (const action of actions) this.perform(action);
  }

  private answer(message: OrderMessage, delay = DELAY): void {
    this.queue.push({ at: this.now + delay, message });
  }

  private perform(action: OrderAction): void {
    if (action.kind === 'read_lease') {
      const { call } = action;
      const { claim, revision: storeRevision } = this;
      const reading = claim
        ? { kind: 'found' as const, claim, modifiedRevision: storeRevision, storeRevision }
        : { kind: 'absent' as const, storeRevision };
      this.answer({ kind: 'lease_read', call, reading });
    }
    if (action.kind === 'grant_lease' || action.kind === 'renew_lease') {
      const term = { kind: 'granted', leaseId: '71', timeToLiveMilliseconds: 30_000 } as const;
      this.answer({ kind: 'lease_term', call: action.call, term });
    }
    if (action.kind === 'write_lease') {
      this.revision += 1;
      this.claim = action.claim;
      const writing = { kind: 'committed' as const, revision: this.revision };
      this.answer({ kind: 'lease_written', call: action.call, writing });
    }
    this.performAtRunners(action);
  }

  private performAtRunners(action: OrderAction): void {
    if (action.kind === 'read_state') {
      const { call, runnerId } = action;
      const reading = { kind: 'state' as const, state: this.states.get(runnerId)! };
      this.answer({ kind: 'state_read', call, runnerId, reading });
    }
    if (action.kind === 'read_load') {
      const { call, runnerId } = action;
      const reading = { kind: 'load', running: 0, queued: 0, ageMilliseconds: 500 } as const;
      this.answer({ kind: 'load_read', call, runnerId, reading });
    }
    if (action.kind === 'order') {
      const { call, runnerId } = action;
      this.states.set(runnerId, { ...this.states.get(runnerId)!, versions: [] });
      // The answer is on its way when the pause begins.
      const delay = Math.max(DELAY, PAUSE_BEGINS - this.now);
      this.answer({ kind: 'order_ended', call, runnerId, end: { kind: 'accepted' } }, delay);
    }
    if (action.kind === 'change') {
      this.drained = action.drains.map(({ runnerId }) => runnerId);
      const end = { kind: 'accepted', revision: 13 } as const;
      this.answer({ kind: 'change_ended', call: action.call, end });
      this.answer({ kind: 'pool', picture: this.picture() }, 2 * DELAY);
    }
  }

  private picture(): PoolPicture {
    const revision = this.drained.length > 0 ? 13 : 12;
    const runners = [...this.states.keys()].map((id): PoolRunner => {
      const drain = this.drained.includes(id) ? 'rollout' : 'none';
      return { id, incarnation: 1, state: 'live', drain };
    });
    return {
      service: 'tile-sales-assistant',
      dataCentre: 'rosario-1',
      revision,
      everywhereRevision: revision,
      model: 'tile-sales',
      wantedVersion: '1',
      adapters: [],
      role: '',
      weightBytes: { 1: 28_000_000_000, 2: 28_000_000_000 },
      rollout: {
        name: 'tile-sales-assistant',
        state: 'running',
        resumesAs: '',
        fromVersion: '1',
        toVersion: '2',
        maximumUnavailableShare: 0.25,
        maximumFailures: 1,
        dataCentres: ['rosario-1', 'rosario-2'],
        finishedDataCentres: [],
      },
      runners,
      elsewhere: { runners: 4, unavailable: 0 },
    };
  }
}

const story = new Story();
story.play();
const title = 'The holder of a lease is paused, another daemon takes over, it wakes up and stops.';
const session = formatSession({ feature: 'orders', title, options: OPTIONS }, story.steps);
await writeFile(new URL('../../golden/orders-paused-holder.jsonl', import.meta.url), session);

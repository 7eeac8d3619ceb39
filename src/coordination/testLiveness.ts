/**
 * A fleet whose daemons watch each other, in virtual time: the real decisions, and a network and a store that fail.
 * The store keeps all entries: leases end later than what is looked at, or not at all while it is away.
 */
import { LivenessDecisions } from '../liveness/LivenessDecisions.js';
import type { LivenessAction, ProbeOutcome } from '../liveness/livenessTypes.js';
import { seededRandom } from '../random/seededRandom.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { watchersOf } from './coordinatorsOf.js';
import { livenessDuties } from './livenessDuties.js';

/** Options of a {@link TestLiveness}. */
export interface TestLivenessOptions {
  daemons: number;
  seed: number;
  /** Share of datagrams, and of calls' first packets, that get lost. */
  loss?: number;
  /** Whether the store answers; it never drops an entry here. */
  isStoreUp?: boolean;
}

/**
 * `off` has no power, `killed` has no process while its host lives, `frozen` stands still, `leaving` is in a planned
 * stop, `secretless` has started while the store was away: it cannot read others' messages, nor send any.
 */
export type TestState = 'up' | 'off' | 'killed' | 'frozen' | 'leaving' | 'secretless';

const STEP_MILLISECONDS = 10;
const LOOK_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 300;
const LONGEST_DELAY_MILLISECONDS = 6;
const STORE_READ_MILLISECONDS = 800;

/** What a daemon takes a second from all others, and how often it sends at most; see NewsTask. */
const TAKEN_PER_SECOND = 320;
const REPEAT_MILLISECONDS = 1_000;
const INTERVAL_MILLISECONDS = 100;
const QUIET_FACTOR = 1.2;

/** One daemon of the fleet. */
export class TestWatcher {
  readonly decisions: LivenessDecisions;

  /** Those that all send their news, as it knows them. */
  watchers: readonly DaemonEntry[] = [];

  readonly entry: DaemonEntry;

  state: TestState = 'up';

  /** Whether its link carries nothing in, or nothing out. */
  cut: 'none' | 'in' | 'out' | 'both' = 'none';

  /** How many ms its calls and messages wait on its own link. */
  linkDelay = 0;

  nextTickAt: number;

  nextNewsAt: number;

  private readonly assigned = { listed: 0, changes: -1 };

  constructor(entry: DaemonEntry, options: { quiet: number; random: () => number; news: number }) {
    const { quiet, random, news } = options;
    this.entry = entry;
    const quietMilliseconds = () => quiet;
    const canHear = () => this.state !== 'secretless';
    const own = { daemon: entry.name, quietMilliseconds, canHear, random };
    this.decisions = new LivenessDecisions(own);
    this.nextTickAt = random() * this.decisions.tickMilliseconds;
    this.nextNewsAt = random() * news;
  }

  /** @returns Whether its process runs. */
  get runs(): boolean {
    return this.state === 'up' || this.state === 'leaving' || this.state === 'secretless';
  }

  /** @returns Whether its datagrams leave it. */
  get sends(): boolean {
    return this.runs && this.state !== 'secretless' && this.cut !== 'out' && this.cut !== 'both';
  }

  /** @returns Whether datagrams reach it. */
  get receives(): boolean {
    return this.runs && this.state !== 'secretless' && this.cut !== 'in' && this.cut !== 'both';
  }

  /** @returns Whether a call between it and others gets through. */
  get takesCalls(): boolean {
    return this.runs && this.cut === 'none';
  }

  /**
   * @param listed - all daemons.
   * @param now - monotonic ms.
   */
  assign(listed: readonly DaemonEntry[], now: number): void {
    const { changes } = this.decisions;
    if (this.assigned.listed === listed.length && this.assigned.changes === changes) return;
    Object.assign(this.assigned, { listed: listed.length, changes });
    this.watchers = watchersOf(listed, (name) => this.decisions.isOut(name));
    const place = { daemon: this.entry.name, listed, watchers: this.watchers };
    this.decisions.assign(livenessDuties(place), now);
  }
}

/** Plays the daemons and what is between them. */
export class TestLiveness {
  readonly watchers: TestWatcher[] = [];

  now = 0;

  isStoreUp: boolean;

  private readonly random: () => number;

  private readonly loss: number;

  private readonly newsMilliseconds: number;

  private readonly listed: DaemonEntry[] = [];

  private readonly byName = new Map<string, TestWatcher>();

  private readonly events = new Map<number, (() => void)[]>();

  /**
   * @param options - its size, its troubles, and the seed of all chance.
   */
  constructor({ daemons, seed, loss = 0.01, isStoreUp = false }: TestLivenessOptions) {
    this.random = seededRandom(seed);
    this.loss = loss;
    this.isStoreUp = isStoreUp;
    const interval = Math.max(INTERVAL_MILLISECONDS, (daemons * 1_000) / TAKEN_PER_SECOND);
    this.newsMilliseconds = interval * Math.ceil(REPEAT_MILLISECONDS / interval);
    const quiet = QUIET_FACTOR * this.newsMilliseconds;
    for (let index = 0; index < daemons; index += 1) {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      const entry = { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
      const options = { quiet, random: this.random, news: this.newsMilliseconds };
      const watcher = new TestWatcher(entry, options);
      this.watchers.push(watcher);
      this.byName.set(entry.name, watcher);
      this.listed.push(entry);
    }
  }

  /** @returns Daemons that run. */
  get running(): TestWatcher[] {
    return this.watchers.filter(({ runs }) => runs);
  }

  /**
   * @param share - of all daemons, at random.
   * @returns Some of them.
   */
  pick(share: number): TestWatcher[] {
    const rest = [...this.watchers];
    const count = Math.round(share * rest.length);
    return Array.from({ length: count }, () => {
      const index = Math.floor(this.random() * rest.length);
      return rest.splice(index, 1)[0] as TestWatcher;
    });
  }

  /**
   * @param milliseconds - that pass.
   * @param look - called each 100 ms.
   */
  play(milliseconds: number, look: () => void = () => undefined): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.step();
      if (this.now % LOOK_MILLISECONDS === 0) look();
    }
  }

  /**
   * @param askers - whose answers count.
   * @param named - daemons that they may name.
   * @returns How many of these are named, over all answers.
   */
  timesNamed(askers: readonly TestWatcher[], named: readonly TestWatcher[]): number {
    const counts = askers.map(
      ({ decisions }) => named.filter(({ entry }) => !decisions.isOut(entry.name)).length,
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private step(): void {
    this.now += STEP_MILLISECONDS;
    const due = this.events.get(this.now) ?? [];
    this.events.delete(this.now);
    for (const event of due) event();
    if (this.now % STORE_READ_MILLISECONDS === 0) this.readStore();
    for (const watcher of this.running) this.run(watcher);
  }

  private readStore(): void {
    if (!this.isStoreUp) return;
    for (const { takesCalls, decisions, linkDelay } of this.watchers) {
      if (takesCalls && linkDelay < CALL_TIMEOUT_MILLISECONDS) decisions.storeAnswered(this.now);
    }
  }

  private run(watcher: TestWatcher): void {
    const { decisions } = watcher;
    if (this.now >= watcher.nextTickAt) {
      Object.assign(watcher, { nextTickAt: this.now + decisions.tickMilliseconds });
      watcher.assign(this.listed, this.now);
      for (const action of decisions.tick(this.now)) this.act(watcher, action);
    }
    if (this.now >= watcher.nextNewsAt) {
      Object.assign(watcher, { nextNewsAt: this.now + this.newsMilliseconds });
      this.tellNews(watcher);
    }
  }

  private tellNews(watcher: TestWatcher): void {
    const recipients = watcher.watchers.length > 0 ? watcher.watchers : this.listed;
    const { name } = watcher.entry;
    const isLeaving = watcher.state === 'leaving';
    for (const entry of recipients) {
      this.send(watcher, entry.name, (to) => to.decisions.heard(name, this.now, isLeaving));
    }
  }

  private send(from: TestWatcher, name: string, take: (to: TestWatcher) => void): void {
    const to = this.byName.get(name);
    if (!to || to === from || !from.sends || this.random() < this.loss) return;
    const wait = from.linkDelay + to.linkDelay;
    // A full link drops datagrams instead of keeping them for long.
    if (wait > CALL_TIMEOUT_MILLISECONDS) return;
    this.later(wait + this.delay(), () => {
      if (to.receives) take(to);
    });
  }

  private act(watcher: TestWatcher, action: LivenessAction): void {
    const { decisions, entry } = watcher;
    switch (action.kind) {
      case 'probe':
        this.call(watcher, action.daemon, (outcome, called) => {
          decisions.probeEnded(action.daemon, outcome, this.now);
          const { toldSilences } = called.decisions;
          if (outcome === 'answered' && toldSilences) {
            decisions.takeTold(action.daemon, toldSilences, this.now);
          }
        });
        break;
      case 'ask':
        this.call(watcher, action.helper, (outcome, helper) => {
          const isThere = outcome === 'answered' || outcome === 'leaving';
          if (!isThere) return;
          const opinions = helper.decisions.opinionsOn(action.daemons, this.now);
          decisions.takeOpinions(opinions, this.now);
        });
        break;
      case 'tell':
        for (const { entry: to } of this.watchers) {
          this.send(watcher, to.name, ({ decisions: listener }) =>
            listener.takeTold(entry.name, action.silent, this.now),
          );
        }
        break;
      default:
    }
  }

  private call(
    from: TestWatcher,
    name: string,
    end: (outcome: ProbeOutcome, to: TestWatcher) => void,
  ): void {
    const to = this.byName.get(name) as TestWatcher;
    const wait = 2 * (from.linkDelay + to.linkDelay) + this.delay();
    // Two calls at the same time: both are lost more rarely.
    const isLost = this.random() < this.loss ** 2 || wait > CALL_TIMEOUT_MILLISECONDS;
    const reaches = !isLost && from.cut === 'none' && to.cut === 'none';
    const outcome = this.outcomeOf(to, reaches);
    this.later(outcome === 'timeout' ? CALL_TIMEOUT_MILLISECONDS : wait, () => {
      if (from.runs) end(outcome, to);
    });
  }

  private outcomeOf(to: TestWatcher, reaches: boolean): ProbeOutcome {
    if (!reaches) return 'timeout';
    if (to.state === 'killed') return 'refused';
    if (to.state === 'leaving') return 'leaving';
    return to.runs ? 'answered' : 'timeout';
  }

  private delay(): number {
    return 1 + this.random() * LONGEST_DELAY_MILLISECONDS;
  }

  private later(milliseconds: number, event: () => void): void {
    const steps = Math.max(1, Math.ceil(milliseconds / STEP_MILLISECONDS));
    const at = this.now + steps * STEP_MILLISECONDS;
    const events = this.events.get(at) ?? [];
    events.push(event);
    this.events.set(at, events);
  }
}

/**
 * A simulated fleet whose daemons monitor each other, in virtual time: the real decisions of the failure detector,
 * with a network and a store that fail. The store keeps all entries: leases outlast the simulation, or do not end
 * while the store is unavailable.
 */
import { LivenessDecisions } from '../liveness/LivenessDecisions.js';
import type { LivenessAction, ProbeOutcome } from '../liveness/livenessTypes.js';
import { seededRandom } from '../random/seededRandom.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { monitorsOf } from './daemonRoles.js';
import { livenessDuties } from './livenessDuties.js';

/** Options of a {@link TestLiveness}. */
export interface TestLivenessOptions {
  daemons: number;
  seed: number;
  /** Share of datagrams, and of first packets of calls, that are lost. */
  loss?: number;
  /** Whether the store answers; it never removes an entry here. */
  isStoreUp?: boolean;
}

/**
 * `off`: its host has no power. `killed`: its process has ended while its host runs. `frozen`: its process is
 * suspended. `leaving`: it is in a planned shutdown. `secretless`: it has started while the store was unavailable, and
 * can neither read messages of other daemons nor send any.
 */
export type TestState = 'up' | 'off' | 'killed' | 'frozen' | 'leaving' | 'secretless';

const STEP_MILLISECONDS = 10;
const OBSERVATION_MILLISECONDS = 100;
const CALL_TIMEOUT_MILLISECONDS = 300;
const LONGEST_DELAY_MILLISECONDS = 6;
const STORE_READ_MILLISECONDS = 800;

/**
 * Load reports that a daemon receives per second from all others, and limits of the interval at which it sends its
 * own, in ms; see `NewsTask`.
 */
const RECEIVED_PER_SECOND = 320;
const REPEAT_MILLISECONDS = 1_000;
const INTERVAL_MILLISECONDS = 100;
const QUIET_FACTOR = 1.2;

/** One daemon of the simulated fleet. */
export class TestLivenessDaemon {
  readonly decisions: LivenessDecisions;

  /** The fleet's monitors as this daemon knows them. */
  monitors: readonly DaemonEntry[] = [];

  readonly entry: DaemonEntry;

  state: TestState = 'up';

  /** Direction in which its link carries nothing. */
  cut: 'none' | 'in' | 'out' | 'both' = 'none';

  /** Queueing delay of its calls and messages on its own link, in ms. */
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

  /** @returns Whether its process is running. */
  get runs(): boolean {
    return this.state === 'up' || this.state === 'leaving' || this.state === 'secretless';
  }

  /** @returns Whether its datagrams reach the network. */
  get sends(): boolean {
    return this.runs && this.state !== 'secretless' && this.cut !== 'out' && this.cut !== 'both';
  }

  /** @returns Whether datagrams of other daemons reach it. */
  get receives(): boolean {
    return this.runs && this.state !== 'secretless' && this.cut !== 'in' && this.cut !== 'both';
  }

  /** @returns Whether calls between it and other daemons get through. */
  get takesCalls(): boolean {
    return this.runs && this.cut === 'none';
  }

  /**
   * Derives its monitors and its duties again when the fleet or its view of it has changed.
   *
   * @param listed - all listed daemons.
   * @param now - current time, monotonic ms.
   */
  assign(listed: readonly DaemonEntry[], now: number): void {
    const { changes } = this.decisions;
    if (this.assigned.listed === listed.length && this.assigned.changes === changes) return;
    Object.assign(this.assigned, { listed: listed.length, changes });
    this.monitors = monitorsOf(listed, (name) => this.decisions.isUnavailable(name));
    const place = { daemon: this.entry.name, listed, monitors: this.monitors };
    this.decisions.assign(livenessDuties(place), now);
  }
}

/** Simulates the daemons and the network between them. */
export class TestLiveness {
  readonly daemons: TestLivenessDaemon[] = [];

  now = 0;

  isStoreUp: boolean;

  private readonly random: () => number;

  private readonly loss: number;

  private readonly newsMilliseconds: number;

  private readonly listed: DaemonEntry[] = [];

  private readonly byName = new Map<string, TestLivenessDaemon>();

  private readonly events = new Map<number, (() => void)[]>();

  /**
   * @param options - the fleet's size, its faults and its random seed.
   */
  constructor({ daemons, seed, loss = 0.01, isStoreUp = false }: TestLivenessOptions) {
    this.random = seededRandom(seed);
    this.loss = loss;
    this.isStoreUp = isStoreUp;
    const interval = Math.max(INTERVAL_MILLISECONDS, (daemons * 1_000) / RECEIVED_PER_SECOND);
    this.newsMilliseconds = interval * Math.ceil(REPEAT_MILLISECONDS / interval);
    const quiet = QUIET_FACTOR * this.newsMilliseconds;
    for (let index = 0; index < daemons; index += 1) {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      const entry = { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
      const options = { quiet, random: this.random, news: this.newsMilliseconds };
      const daemon = new TestLivenessDaemon(entry, options);
      this.daemons.push(daemon);
      this.byName.set(entry.name, daemon);
      this.listed.push(entry);
    }
  }

  /** @returns The daemons whose processes are running. */
  get running(): TestLivenessDaemon[] {
    return this.daemons.filter(({ runs }) => runs);
  }

  /**
   * Picks daemons at random.
   *
   * @param share - the share of all daemons to pick.
   * @returns The daemons picked.
   */
  pick(share: number): TestLivenessDaemon[] {
    const rest = [...this.daemons];
    const count = Math.round(share * rest.length);
    return Array.from({ length: count }, () => {
      const index = Math.floor(this.random() * rest.length);
      return rest.splice(index, 1)[0] as TestLivenessDaemon;
    });
  }

  /**
   * Advances the simulation.
   *
   * @param milliseconds - virtual time to pass.
   * @param look - called every 100 ms of virtual time.
   */
  advance(milliseconds: number, look: () => void = () => undefined): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.step();
      if (this.now % OBSERVATION_MILLISECONDS === 0) look();
    }
  }

  /**
   * Counts daemons in the answers that other daemons would give to callers.
   *
   * @param askers - the daemons that answer.
   * @param named - the daemons to count.
   * @returns How often these are named, over all answers.
   */
  countNamed(askers: readonly TestLivenessDaemon[], named: readonly TestLivenessDaemon[]): number {
    const counts = askers.map(
      ({ decisions }) => named.filter(({ entry }) => !decisions.isUnavailable(entry.name)).length,
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private step(): void {
    this.now += STEP_MILLISECONDS;
    const due = this.events.get(this.now) ?? [];
    this.events.delete(this.now);
    for (const event of due) event();
    if (this.now % STORE_READ_MILLISECONDS === 0) this.readStore();
    for (const daemon of this.running) this.run(daemon);
  }

  private readStore(): void {
    if (!this.isStoreUp) return;
    for (const { takesCalls, decisions, linkDelay } of this.daemons) {
      if (takesCalls && linkDelay < CALL_TIMEOUT_MILLISECONDS)
        decisions.recordStoreAnswer(this.now);
    }
  }

  private run(daemon: TestLivenessDaemon): void {
    const { decisions } = daemon;
    if (this.now >= daemon.nextTickAt) {
      Object.assign(daemon, { nextTickAt: this.now + decisions.tickMilliseconds });
      daemon.assign(this.listed, this.now);
      for (const action of decisions.tick(this.now)) this.perform(daemon, action);
    }
    if (this.now >= daemon.nextNewsAt) {
      Object.assign(daemon, { nextNewsAt: this.now + this.newsMilliseconds });
      this.sendNews(daemon);
    }
  }

  private sendNews(daemon: TestLivenessDaemon): void {
    const recipients = daemon.monitors.length > 0 ? daemon.monitors : this.listed;
    const { name } = daemon.entry;
    const isLeaving = daemon.state === 'leaving';
    for (const entry of recipients) {
      this.send(daemon, entry.name, (to) => to.decisions.recordMessage(name, this.now, isLeaving));
    }
  }

  private send(
    from: TestLivenessDaemon,
    name: string,
    take: (to: TestLivenessDaemon) => void,
  ): void {
    const to = this.byName.get(name);
    if (!to || to === from || !from.sends || this.random() < this.loss) return;
    const wait = from.linkDelay + to.linkDelay;
    // A congested link drops datagrams instead of queueing them for long.
    if (wait > CALL_TIMEOUT_MILLISECONDS) return;
    this.later(wait + this.delay(), () => {
      if (to.receives) take(to);
    });
  }

  private perform(daemon: TestLivenessDaemon, action: LivenessAction): void {
    const { decisions, entry } = daemon;
    switch (action.kind) {
      case 'probe':
        this.call(daemon, action.daemon, (outcome, called) => {
          decisions.recordProbeResult(action.daemon, outcome, this.now);
          const { unresponsiveHashes: toldSilences } = called.decisions;
          if (outcome === 'answered' && toldSilences) {
            decisions.takeBroadcast(action.daemon, toldSilences, this.now);
          }
        });
        break;
      case 'ask':
        this.call(daemon, action.helper, (outcome, helper) => {
          const isThere = outcome === 'answered' || outcome === 'leaving';
          if (!isThere) return;
          const opinions = helper.decisions.opinionsOn(action.daemons, this.now);
          decisions.takeOpinions(opinions, this.now);
        });
        break;
      case 'tell':
        for (const { entry: to } of this.daemons) {
          this.send(daemon, to.name, ({ decisions: listener }) =>
            listener.takeBroadcast(entry.name, action.silent, this.now),
          );
        }
        break;
      default:
    }
  }

  private call(
    from: TestLivenessDaemon,
    name: string,
    end: (outcome: ProbeOutcome, to: TestLivenessDaemon) => void,
  ): void {
    const to = this.byName.get(name) as TestLivenessDaemon;
    const wait = 2 * (from.linkDelay + to.linkDelay) + this.delay();
    // Two connection attempts are made at the same time, so both are lost more rarely.
    const isLost = this.random() < this.loss ** 2 || wait > CALL_TIMEOUT_MILLISECONDS;
    const isReachable = !isLost && from.cut === 'none' && to.cut === 'none';
    const outcome = this.outcomeOf(to, isReachable);
    this.later(outcome === 'timeout' ? CALL_TIMEOUT_MILLISECONDS : wait, () => {
      if (from.runs) end(outcome, to);
    });
  }

  private outcomeOf(to: TestLivenessDaemon, reaches: boolean): ProbeOutcome {
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

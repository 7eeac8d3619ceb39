/**
 * Simulates, in virtual time, a fleet whose service fails while daemons are killed, restarted, paused or added. Each
 * daemon process has its own retry budget. Compares the retries of the fleet in each window with the operators' limit.
 */
import { match } from 'ts-pattern';

import { FleetSize } from '../sync/FleetSize.js';
import { seededRandom } from '../random/seededRandom.js';
import type { SharedRetryBudget, SharedRetryBudgetOptions } from './SharedRetryBudget.js';

/** Retry budget of one daemon process, as the simulation uses it. */
export interface RetryAccount extends Pick<SharedRetryBudget, 'recordRequest' | 'take'> {
  /** Called when the process ends and its state is lost. */
  end?(): void;
}

/** Disruption of the daemons. */
export type FleetTrouble =
  | 'none'
  /** All daemons are killed at the same moment, several times. */
  | 'killed_together'
  /** Single daemons are killed one after the other, repeatedly. */
  | 'killed_in_turn'
  /** Rolling restart of all daemons, a few at a time; each is not listed while it is stopped. */
  | 'rolled'
  /** The store loses entries, so that each daemon lists only itself for a while. */
  | 'lists_short'
  /** A third of the daemons are paused, and receive the requests that have accumulated when they continue. */
  | 'paused'
  /** The number of daemons doubles. */
  | 'added'
  /** Half of the daemons fail permanently, and the others notice it later. */
  | 'gone';

/** How requests fail. `some`: one in ten; `most`: nearly all; `bursts`: repeatedly, all that are in progress at one moment. */
export type ServiceFailure = 'some' | 'most' | 'bursts';

/** Options of {@link simulateRetries}. */
export interface RetryFleetOptions {
  daemons: number;
  trouble: FleetTrouble;
  failure: ServiceFailure;
  /** Creates the budget of one incarnation of a daemon; `daemon` is the index of the daemon. */
  createAccount: (options: SharedRetryBudgetOptions, daemon: number) => RetryAccount;
  seed?: number;
  /** Request rate of one daemon. */
  requestsPerSecond?: number;
  ratio?: number;
  /** Allowance of the whole fleet, in retries per window. */
  allowance?: number;
}

/** Result of a simulation. */
export interface RetryFleetResult {
  /** Retries by which the worst window exceeds the fleet's limit; negative if none does. */
  readonly excess: number;
  readonly wanted: number;
  readonly granted: number;
}

/** Fleets of the sizes of real deployments, with the allowances of their operators. */
export const RETRY_FLEETS = [
  { daemons: 6, allowance: 52 },
  { daemons: 9, allowance: 58 },
  { daemons: 90, allowance: 220 },
  { daemons: 195, allowance: 430 },
  { daemons: 390, allowance: 430 },
];

/** Length of the window to which the operators' limit applies, in ms. */
export const RETRY_WINDOW_MILLISECONDS = 10_000;

const SERVICE = 'engine';
const STEP_MILLISECONDS = 50;
const STEPS_PER_SECOND = 1_000 / STEP_MILLISECONDS;
const WINDOW_STEPS = RETRY_WINDOW_MILLISECONDS / STEP_MILLISECONDS;
const DURATION_STEPS = 60 * STEPS_PER_SECOND;
const FAILS_FROM_STEP = 15 * STEPS_PER_SECOND;
const AWAY_STEPS = STEPS_PER_SECOND;

/** Number of steps after its start during which a daemon lists only itself. */
const DISCOVERY_STEPS = 6;

/** Requests of a daemon that fail in a burst: those that arrive within this many seconds. */
const BURST_SECONDS = 1.5;

const BURST_EVERY_STEPS = 7 * STEPS_PER_SECOND;

const FAILED_SHARE: Readonly<Record<ServiceFailure, number>> = { some: 0.1, most: 0.9, bursts: 0 };

interface FleetDaemon {
  readonly index: number;
  account: RetryAccount | undefined;
  size: FleetSize;
  startedStep: number;
  /** Step at which the daemon starts again. */
  backAtStep: number;
  isListed: boolean;
  isPaused: boolean;
  waiting: number;
}

/** The simulated daemons, and the requests and retries that they have sent. */
class RetryFleet {
  private readonly options: Required<RetryFleetOptions>;

  private readonly random: () => number;

  private readonly daemons: FleetDaemon[];

  private readonly requests: number[] = [];

  private readonly retries: number[] = [];

  private wanted = 0;

  private step = 0;

  private listed = 0;

  private areListsShort = false;

  constructor(options: Required<RetryFleetOptions>) {
    this.options = options;
    this.random = seededRandom(options.seed);
    this.daemons = Array.from({ length: options.daemons }, (_, index) => this.createDaemon(index));
    for (const daemon of this.daemons) this.start(daemon);
  }

  play(): RetryFleetResult {
    for (; this.step < DURATION_STEPS; this.step += 1) {
      this.requests.push(0);
      this.retries.push(0);
      this.disturb();
      this.listed = this.daemons.filter(({ isListed }) => isListed).length;
      for (const daemon of this.daemons) daemon.size.changed(this.listedBy(daemon), this.now);
      this.serve();
    }
    const granted = this.retries.reduce((sum, count) => sum + count, 0);
    return { excess: this.worstExcess(), wanted: this.wanted, granted };
  }

  private createDaemon(index: number): FleetDaemon {
    const times = { startedStep: 0, backAtStep: 0, waiting: 0 };
    return {
      index,
      account: undefined,
      size: new FleetSize(),
      isListed: true,
      isPaused: false,
      ...times,
    };
  }

  private get now(): number {
    return this.step * STEP_MILLISECONDS;
  }

  private start(daemon: FleetDaemon): void {
    const { ratio, allowance, createAccount } = this.options;
    const size = new FleetSize();
    const budget = {
      ratio,
      allowance,
      windowMilliseconds: RETRY_WINDOW_MILLISECONDS,
      daemons: () => size.maximumWithin(RETRY_WINDOW_MILLISECONDS, this.now),
      startedAt: this.now,
    };
    const account = createAccount(budget, daemon.index);
    Object.assign(daemon, { account, size, startedStep: this.step, isListed: true });
  }

  private listedBy(daemon: FleetDaemon): number {
    const isNew = daemon.startedStep > 0 && this.step - daemon.startedStep < DISCOVERY_STEPS;
    return isNew || this.areListsShort ? 1 : this.listed;
  }

  private end(daemon: FleetDaemon, awaySteps: number): void {
    daemon.account?.end?.();
    Object.assign(daemon, { account: undefined, backAtStep: this.step + awaySteps, waiting: 0 });
  }

  private disturb(): void {
    for (const daemon of this.daemons) {
      if (!daemon.account && this.step >= daemon.backAtStep) this.start(daemon);
    }
    const since = this.step - FAILS_FROM_STEP;
    if (since < 0) return;
    const second = since / STEPS_PER_SECOND;
    match(this.options.trouble)
      .with('none', () => undefined)
      .with('killed_together', () => this.killTogether(second))
      .with('killed_in_turn', () => this.killInTurn())
      .with('rolled', () => this.roll(since))
      .with('lists_short', () => this.shortenLists(second))
      .with('paused', () => this.pause(second))
      .with('added', () => this.add(second))
      .with('gone', () => this.loseHalf(second))
      .exhaustive();
  }

  private killTogether(second: number): void {
    if (![3, 6, 9, 21].includes(second)) return;
    for (const daemon of this.daemons) this.end(daemon, AWAY_STEPS);
  }

  private shortenLists(second: number): void {
    this.areListsShort = (second >= 2 && second < 5) || (second >= 12 && second < 14);
  }

  private killInTurn(): void {
    if (this.random() * STEPS_PER_SECOND >= this.daemons.length / 4) return;
    const daemon = this.daemons[Math.floor(this.random() * this.daemons.length)];
    if (daemon?.account) this.end(daemon, AWAY_STEPS);
  }

  /** Restarts two daemons, or a tenth of the fleet, every 0.6 s; each is stopped for two seconds. */
  private roll(since: number): void {
    const everySteps = 0.6 * STEPS_PER_SECOND;
    const atOnce = Math.max(2, Math.ceil(this.daemons.length / 10));
    if (since % everySteps !== 0) return;
    const first = (since / everySteps) * atOnce;
    for (const daemon of this.daemons.slice(first, first + atOnce)) {
      this.end(daemon, 2 * AWAY_STEPS);
      daemon.isListed = false;
    }
  }

  private pause(second: number): void {
    this.daemons.forEach((daemon, index) => {
      if (index % 3 === 0) Object.assign(daemon, { isPaused: second >= 3 && second < 7 });
    });
  }

  private add(second: number): void {
    if (second !== 3) return;
    for (let count = this.options.daemons; count > 0; count -= 1) {
      const daemon = this.createDaemon(this.daemons.length);
      this.daemons.push(daemon);
      this.start(daemon);
    }
  }

  private loseHalf(second: number): void {
    const lost = this.daemons.slice(0, Math.floor(this.options.daemons / 2));
    if (second === 3) for (const daemon of lost) this.end(daemon, DURATION_STEPS);
    if (second === 6) for (const daemon of lost) daemon.isListed = false;
  }

  private serve(): void {
    const living = this.daemons.filter(({ account }) => account);
    const rate = (this.options.requestsPerSecond * this.options.daemons) / STEPS_PER_SECOND;
    for (const daemon of living) {
      daemon.waiting += this.drawCount(rate / living.length);
      this.requests[this.step] = (this.requests[this.step] ?? 0) + daemon.waiting;
      if (daemon.isPaused) continue;
      for (; daemon.waiting > 0; daemon.waiting -= 1) this.handleRequest(daemon);
      if (this.isBurst) this.failInProgress(daemon);
    }
  }

  private drawCount(mean: number): number {
    const whole = Math.floor(mean);
    return whole + (this.random() < mean - whole ? 1 : 0);
  }

  private get isBurst(): boolean {
    const since = this.step - FAILS_FROM_STEP;
    return this.options.failure === 'bursts' && since >= 0 && since % BURST_EVERY_STEPS === 0;
  }

  private handleRequest(daemon: FleetDaemon): void {
    daemon.account?.recordRequest(SERVICE, this.now);
    const fails =
      this.step >= FAILS_FROM_STEP && this.random() < FAILED_SHARE[this.options.failure];
    if (fails) this.tryRetry(daemon);
  }

  private failInProgress(daemon: FleetDaemon): void {
    const underWay = Math.round(this.options.requestsPerSecond * BURST_SECONDS);
    for (let count = underWay; count > 0; count -= 1) this.tryRetry(daemon);
  }

  private tryRetry(daemon: FleetDaemon): void {
    this.wanted += 1;
    if (!daemon.account?.take(SERVICE, this.now)) return;
    this.retries[this.step] = (this.retries[this.step] ?? 0) + 1;
  }

  private static sum(counts: readonly number[], from: number): number {
    const start = Math.max(0, from);
    return counts.slice(start, Math.max(start, from + WINDOW_STEPS)).reduce((a, b) => a + b, 0);
  }

  /**
   * Returns the excess of the worst window. The limit is based on the requests of the same window, the previous one, or the
   * one half a window earlier, whichever has the most requests.
   */
  private worstExcess(): number {
    const { ratio, allowance } = this.options;
    const excesses = this.retries.map((_, from) => {
      const starts = [from, from - WINDOW_STEPS / 2, from - WINDOW_STEPS];
      const requests = Math.max(...starts.map((start) => RetryFleet.sum(this.requests, start)));
      return RetryFleet.sum(this.retries, from) - ratio * requests - allowance;
    });
    return Math.max(...excesses);
  }
}

/**
 * @param options - the fleet, its disruption, and the retry budget of each process.
 * @returns The retries that were wanted and granted, and the excess over the limit.
 */
export function simulateRetries({
  seed = 1,
  requestsPerSecond = 9,
  ratio = 0.2,
  allowance = 58,
  ...options
}: RetryFleetOptions): RetryFleetResult {
  return new RetryFleet({ seed, requestsPerSecond, ratio, allowance, ...options }).play();
}

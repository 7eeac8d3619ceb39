/**
 * Records the runners that one request was sent to, and which of them may have run it.
 */
import type { Runner } from '../runners/Runner.js';
import { CONNECT_TIMEOUT_MILLISECONDS } from './probeRunner.js';
import type { AttemptFailure } from './RunnerAttempt.js';

/** Failures after which the runner has certainly not run the request. */
const NOT_RUN: ReadonlySet<AttemptFailure> = new Set([
  'not_connected',
  'connect_timeout',
  'refused',
]);

/** Maximum connect timeout, in ms; also the longest time until a recovered network link is noticed. */
const MAXIMUM_CONNECT_MILLISECONDS = 720;

/** Attempts of another daemon. */
export interface TriedElsewhere {
  readonly mayHaveRun: number;
  readonly lives: readonly string[];
}

/** Attempts of one request, by the incarnations of the runners. */
export class TriedRunners {
  /** Number of failed attempts that may have run. */
  mayHaveRun: number;

  /** Number of attempts that reached no runner or were refused. */
  notRun = 0;

  /** Number of attempts whose connection was refused. */
  notConnected = 0;

  /**
   * Whether the next attempt has to use a new connection instead of an idle one from the pool.
   *
   * All connections of this daemon may be reset at the same moment. A retry on an idle connection whose reset has not
   * been read yet fails again and uses up the last attempt; the symptom is streams that are cut in the middle although
   * all runners are healthy. A new connection costs a round trip.
   */
  needsNewConnection = false;

  /** Number of attempts, including repeated ones at the same runner. */
  count = 0;

  /** Whether the last attempt did not reach its runner. */
  isUnreached = false;

  /** Incarnations that do not get the request again. */
  private readonly asked = new Set<string>();

  /** Incarnations that did not accept a connection in time; they are tried again if no other runner is left. */
  private readonly unreached = new Set<string>();

  /** Incarnations whose hosts refused the connection; they may be up later, or reached again. */
  private readonly refusing = new Set<string>();

  /**
   * Incarnations that got the request from another daemon; they are tried again if no other runner is left, since what
   * broke may have been the path of that daemon.
   */
  private readonly elsewhere = new Set<string>();

  /**
   * Runners that broke off. Their successors get the request only if no other runner is left: where the platform's list
   * has gone back to an older state, a successor is the same process under the name of an earlier incarnation.
   */
  private readonly broken = new Set<Runner>();

  /** Incarnations that may have run the request, or may be running it. */
  private readonly mayRunAt = new Set<string>();

  /** Number of connect timeouts since the request may have run. */
  private timeoutsAfterRun = 0;

  /**
   * @param elsewhere - what another daemon did for the request: attempts that may have run, and incarnations of runners.
   */
  constructor({ mayHaveRun = 0, lives = [] }: Partial<TriedElsewhere> = {}) {
    this.mayHaveRun = mayHaveRun;
    this.recordElsewhere(lives);
  }

  /** @returns Incarnations of runners that may have run the request, or may be running it, here or for another daemon. */
  get lives(): readonly string[] {
    return [...this.mayRunAt];
  }

  /** @returns Incarnations of runners that the next attempt must not use. */
  get excluded(): ReadonlySet<string> {
    return new Set([
      ...this.asked,
      ...this.unreached,
      ...this.refusing,
      ...this.elsewhere,
      ...this.successors,
    ]);
  }

  /**
   * Returns the timeout of the next connection. It doubles with each connect timeout of a request that may have run,
   * while the daemon's network link is suspected: such a request cannot be refused any more and has to reach a runner,
   * however long connections take. With 90 ms each, six attempts were over after half a second, while links were
   * saturated for one to two seconds.
   *
   * @param isLinkSuspect - whether the network link is suspected because several runners accepted no connection.
   * @returns Connect timeout, in ms.
   */
  connectMilliseconds(isLinkSuspect: boolean): number {
    if (!isLinkSuspect) return CONNECT_TIMEOUT_MILLISECONDS;
    const timeout = CONNECT_TIMEOUT_MILLISECONDS * 2 ** this.timeoutsAfterRun;
    return Math.min(MAXIMUM_CONNECT_MILLISECONDS, timeout);
  }

  /**
   * Records an attempt.
   *
   * @param life - incarnation of the runner that gets the request.
   */
  recordAttempt(life: string): void {
    this.count += 1;
    this.asked.add(life);
    this.mayRunAt.add(life);
  }

  /**
   * Leaves out a runner that has not had the request.
   *
   * @param life - incarnation that has ended.
   */
  exclude(life: string): void {
    this.asked.add(life);
  }

  /**
   * Records a failed attempt.
   *
   * @param runner - the runner.
   * @param failure - kind of failure.
   */
  recordFailure(runner: Runner, failure: AttemptFailure): void {
    const { life } = runner.entry;
    if (failure === 'broken') {
      this.needsNewConnection = true;
      this.broken.add(runner);
    }
    if (NOT_RUN.has(failure)) {
      this.notRun += 1;
      if (failure === 'not_connected') this.notConnected += 1;
      // Another daemon may reach it.
      this.mayRunAt.delete(life);
    } else this.mayHaveRun += 1;
    this.isUnreached = failure === 'not_connected' || failure === 'connect_timeout';
    if (!this.isUnreached) return;
    this.asked.delete(life);
    const isTimeout = failure === 'connect_timeout';
    (isTimeout ? this.unreached : this.refusing).add(life);
    if (isTimeout && this.mayHaveRun > 0) this.timeoutsAfterRun += 1;
  }

  /**
   * Records runners that may have run the request for another daemon.
   *
   * @param lives - their incarnations.
   */
  recordElsewhere(lives: readonly string[]): void {
    for (const life of lives) {
      this.elsewhere.add(life);
      this.mayRunAt.add(life);
    }
  }

  /** Records that a daemon took the request over and broke off, so that it may have run there. */
  recordLostHandOver(): void {
    this.mayHaveRun += 1;
    this.isUnreached = false;
  }

  /**
   * Allows another attempt at the runners that did not accept a connection in time, got the request from another daemon, or
   * have succeeded one that broke off, if the request may have run.
   *
   * @returns Whether there are such runners and the request may have run.
   */
  readmit(): boolean {
    const left = this.unreached.size + this.elsewhere.size + this.successors.length;
    if (this.mayHaveRun === 0 || left === 0) return false;
    this.unreached.clear();
    this.elsewhere.clear();
    this.broken.clear();
    return true;
  }

  /** @returns Whether the request may have run, and a runner that refused the connection may be up later. */
  get hasRefusing(): boolean {
    return this.mayHaveRun > 0 && this.refusing.size > 0;
  }

  /** Allows another attempt at the runners whose hosts refused the connection. */
  readmitRefusing(): void {
    this.refusing.clear();
  }

  /** Incarnations that have taken over the ids of runners that broke off. */
  private get successors(): string[] {
    const lives: string[] = [];
    for (const runner of this.broken) {
      for (let next = runner.successor; next; next = next.successor) lives.push(next.entry.life);
    }
    return lives;
  }
}

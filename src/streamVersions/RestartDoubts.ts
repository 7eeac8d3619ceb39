/**
 * Follows the runners that may have started again until evidence shows whether they have: the list of runners, or the
 * runners' own reports while the list cannot be confirmed.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { BurstLog } from '../logging/BurstLog.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';

/**
 * Why a runner may have started again. `connection_closed`: its instance has closed an idle connection; `refused`: it has
 * refused one; `notice`: another daemon says so; `report`: it says so itself.
 */
export type DoubtCause = 'connection_closed' | 'refused' | 'notice' | 'report';

/**
 * What has ended a doubt. `entry`: the entry of another life; `report`: the runner's own report; `list`: the list, current
 * for long enough; `connection`: data on a connection that was open before; `gone`: the runner is not listed any more.
 */
export type DoubtEnd = 'entry' | 'report' | 'list' | 'connection' | 'gone';

/** Options of {@link RestartDoubts}. */
export interface RestartDoubtsOptions {
  runners: Pick<RunnerTable, 'ofLife'>;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Returns the last moment at which the list of runners was known to be current, monotonic ms. */
  listConfirmedAt: () => number;
  /** Asks a runner which life it is; calls back with `undefined` if it does not say. */
  fetchLife: (runner: Runner, done: (life: string | undefined) => void) => void;
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
  /** Returns random numbers in [0, 1); replaced by tests. */
  random?: () => number;
}

/** A doubt that has not ended. */
interface Doubt {
  readonly begunAt: number;
  readonly cause: DoubtCause;
  isAsking: boolean;
  renewAt: number;
}

/** Listener for doubts that last while the list cannot be confirmed. */
export type LastingListener = (runner: Runner, isSeen: boolean) => void;

/** Shortest interval between two looks at the doubts, in ms, and its random extension. */
const LOOK_MILLISECONDS = 400;
const LOOK_JITTER_MILLISECONDS = 200;

/** A store that answers confirms the list more often than this, in ms; runners are asked only if it does not. */
const UNCONFIRMED_MILLISECONDS = 1_500;

/** Most runners that are asked at the same time. */
const MAXIMUM_ASKED = 16;

/** How long a doubt lasts before other daemons are told again, in ms, and the random extension. */
const RENEW_MILLISECONDS = 2_000;
const RENEW_JITTER_MILLISECONDS = 2_000;

/** Owns the doubts and their timer. */
export class RestartDoubts {
  private readonly options: Required<RestartDoubtsOptions>;

  private readonly doubts = new Map<Runner, Doubt>();

  private readonly counter;

  /** A failed link puts all runners in doubt at once. */
  private readonly log: BurstLog;

  private onLasting: LastingListener = () => undefined;

  private asked = 0;

  private isScheduled = false;

  private isStopped = false;

  /**
   * @param options - the list of runners and its confirmations.
   */
  constructor(options: RestartDoubtsOptions) {
    const later: CallScheduler = (call, milliseconds) => setTimeout(call, milliseconds).unref();
    this.options = { later, random: Math.random, ...options };
    this.log = new BurstLog(options);
    this.counter = options.registry.counter({
      name: 'runner_restart_doubts',
      help: 'Doubts whether a runner has started again, by what they began and ended.',
      labels: ['event', 'by'] as const,
    });
  }

  /**
   * @param onLasting - called from time to time for each doubt that lasts while the list cannot be confirmed.
   */
  whileLasting(onLasting: LastingListener): void {
    this.onLasting = onLasting;
  }

  /**
   * Records that a runner may have started again.
   *
   * @param runner - the runner.
   * @param cause - why.
   * @param notice - the daemon that says so, and whether its doubt has lasted for an unknown time.
   * @returns Whether the runner was not in doubt before.
   */
  begin(
    runner: Runner,
    cause: DoubtCause,
    { daemon, isLasting }: { daemon?: string; isLasting?: boolean } = {},
  ): boolean {
    const { now } = this;
    const { restart } = runner;
    if (this.doubts.has(runner) && !restart.isSuspected) this.end(runner, 'connection');
    const isNew =
      cause === 'notice' ? restart.recordNotice(now, { isLasting }) : restart.record(now);
    if (!isNew) return false;
    this.doubts.set(runner, { begunAt: now, cause, isAsking: false, renewAt: this.nextRenewal });
    this.counter.increment({ event: 'begun', by: cause });
    this.write('restartDoubted', { ...this.fieldsOf(runner), by: cause, daemon });
    this.schedule();
    return true;
  }

  /**
   * Postpones telling other daemons about a doubt, because one of them has just done so.
   *
   * @param runner - a runner.
   */
  postponeRenewal(runner: Runner): void {
    const doubt = this.doubts.get(runner);
    if (doubt) doubt.renewAt = this.nextRenewal;
  }

  /**
   * Takes the report of a runner, in doubt or not.
   *
   * @param runner - the runner.
   * @param life - incarnation that it names.
   * @param askedAt - when it was asked, monotonic ms.
   */
  recordLife(runner: Runner, life: string, askedAt: number): void {
    const isSame = life === runner.entry.life;
    const isReplaced = this.options.runners.ofLife(runner.entry.life) !== runner;
    if (!isSame && !isReplaced) this.begin(runner, 'report');
    const doubt = this.doubts.get(runner);
    if (!doubt || runner.restart.hasRestarted) return;
    const finding = runner.restart.takeReport(isSame, askedAt);
    if (finding === 'same_life') this.end(runner, 'report');
    if (finding === 'restarted') this.recordRestarted(runner, doubt);
  }

  /** Ends the task. */
  stop(): void {
    this.isStopped = true;
    this.doubts.clear();
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private get nextRenewal(): number {
    return this.now + RENEW_MILLISECONDS + RENEW_JITTER_MILLISECONDS * this.options.random();
  }

  private schedule(): void {
    if (this.isScheduled || this.isStopped || this.doubts.size === 0) return;
    this.isScheduled = true;
    const { later, random } = this.options;
    later(
      () => {
        this.isScheduled = false;
        this.look();
        this.schedule();
      },
      LOOK_MILLISECONDS + LOOK_JITTER_MILLISECONDS * random(),
    );
  }

  private look(): void {
    const confirmedAt = this.options.listConfirmedAt();
    const isConfirmed = this.now - confirmedAt < UNCONFIRMED_MILLISECONDS;
    for (const runner of [...this.doubts.keys()]) {
      const end = this.endOf(runner, confirmedAt);
      if (end) this.end(runner, end);
      else if (!isConfirmed) this.pursue(runner);
    }
  }

  private endOf(runner: Runner, confirmedAt: number): DoubtEnd | undefined {
    if (runner.successor) return 'entry';
    if (this.options.runners.ofLife(runner.entry.life) !== runner) return 'gone';
    if (!runner.restart.isSuspected) return 'connection';
    if (runner.isEntryMissing) return undefined;
    return runner.restart.confirmListed(confirmedAt) ? 'list' : undefined;
  }

  /** Asks the runner, and lets other daemons know that the doubt lasts. */
  private pursue(runner: Runner): void {
    const doubt = this.doubts.get(runner);
    if (!doubt) return;
    if (this.now >= doubt.renewAt) {
      doubt.renewAt = this.nextRenewal;
      this.onLasting(runner, doubt.cause !== 'notice');
    }
    if (doubt.isAsking || runner.restart.hasRestarted || this.asked >= MAXIMUM_ASKED) return;
    // Those that wait are asked before it is asked again.
    this.doubts.delete(runner);
    this.doubts.set(runner, doubt);
    this.ask(runner);
  }

  private ask(runner: Runner): void {
    const doubt = this.doubts.get(runner);
    if (!doubt) return;
    const askedAt = this.now;
    doubt.isAsking = true;
    this.asked += 1;
    this.options.fetchLife(runner, (life) => {
      doubt.isAsking = false;
      this.asked -= 1;
      if (life !== undefined && this.doubts.get(runner) === doubt)
        this.recordLife(runner, life, askedAt);
    });
  }

  /** The doubt is over; the runner is kept until its entry is known, for new daemons to be told. */
  private recordRestarted(runner: Runner, { begunAt }: Doubt): void {
    this.counter.increment({ event: 'ended', by: 'report' });
    const milliseconds = Math.round(this.now - begunAt);
    const fields = { by: 'report', hasRestarted: true, milliseconds };
    this.write('restartDoubtEnded', { ...this.fieldsOf(runner), ...fields });
  }

  private end(runner: Runner, by: DoubtEnd): void {
    const { begunAt = this.now } = this.doubts.get(runner) ?? {};
    this.doubts.delete(runner);
    // The report has ended the doubt already.
    if (runner.restart.hasRestarted) return;
    this.counter.increment({ event: 'ended', by });
    const milliseconds = Math.round(this.now - begunAt);
    const hasRestarted = by === 'entry';
    this.write('restartDoubtEnded', { ...this.fieldsOf(runner), by, hasRestarted, milliseconds });
  }

  private fieldsOf({ entry: { id, life, service } }: Runner) {
    return { runner: id, life, service };
  }

  private write(
    event: 'restartDoubted' | 'restartDoubtEnded',
    fields: Record<string, string | number | boolean | undefined>,
  ): void {
    this.log.write(forwardingLogEvents[event], fields);
  }
}

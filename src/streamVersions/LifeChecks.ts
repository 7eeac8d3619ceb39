/**
 * Asks a runner which incarnation it is before a stream goes on there. The list may not have the entry of a runner that has
 * just started again, and events of two software versions do not fit together.
 */
import { setLatest } from '../collections/setLatest.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';

/** Result of a check; `unknown`: the runner does not say, or has not answered in time. */
export type LifeFinding = 'same_life' | 'restarted' | 'unknown';

/** Receives the result of a check. */
export type LifeFindingListener = (finding: LifeFinding) => void;

/** Options of {@link LifeChecks}. */
export interface LifeChecksOptions {
  clock: Clock;
  /** Asks a runner which life it is; calls back later, with `undefined` if it does not say. */
  fetchLife: (runner: Runner, done: (life: string | undefined) => void) => void;
  /** Called with each answer of a runner, and when it was asked, monotonic ms. */
  onLife?: (runner: Runner, life: string, askedAt: number) => void;
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
}

/** Longest wait for the answer of a runner, in ms; a stream must not pause for longer because its next runner is busy. */
const PATIENCE_MILLISECONDS = 250;

/** The same for a runner that may have started again, in ms. */
const DOUBTED_PATIENCE_MILLISECONDS = 500;

/** How long an answer holds, in ms; no runner ends and is up again within it. */
const VALID_MILLISECONDS = 100;

/** Questions without an answer, before any runner of the service has said which life it is, after which none is asked. */
const UNANSWERED_QUESTIONS = 2;

/** How long the runners of such a service are not asked, in ms: they serve no report, and streams would wait in vain. */
const SILENT_MILLISECONDS = 30_000;

/** Maximum number of services that are remembered; those asked last. */
const MAXIMUM_SERVICES = 1_024;

/** Whether the runners of a service say which life they are. */
interface ServiceReports {
  hasReported: boolean;
  unanswered: number;
  /** When the last question was left without an answer, monotonic ms. */
  unansweredAt: number;
}

/**
 * Requests that wait for the answer of one runner share one question. Until a runner of the service has said which life it
 * is, streams wait only for runners in doubt: where none serves a report, the time of the question would be lost.
 */
export class LifeChecks {
  private readonly options: Required<LifeChecksOptions>;

  private readonly waiting = new Map<Runner, Set<LifeFindingListener>>();

  /** When each runner was last asked with the answer that it is the same, monotonic ms. */
  private readonly sameAt = new WeakMap<Runner, number>();

  private readonly services = new Map<string, ServiceReports>();

  /**
   * @param options - the clock, and how runners are asked.
   */
  constructor(options: LifeChecksOptions) {
    const later: CallScheduler = (call, milliseconds) => setTimeout(call, milliseconds).unref();
    this.options = { later, onLife: () => undefined, ...options };
  }

  /**
   * @param runner - runner that a stream is to go on at.
   * @param done - called once; at once if the runner was asked a moment ago, or is not waited for.
   */
  check(runner: Runner, done: LifeFindingListener): void {
    if (this.now - (this.sameAt.get(runner) ?? Number.NEGATIVE_INFINITY) < VALID_MILLISECONDS) {
      done('same_life');
      return;
    }
    const { service } = runner.entry;
    const isSilent = this.isSilent(service);
    const mayWait = runner.restart.isSuspected || this.services.get(service)?.hasReported;
    const listeners = isSilent ? undefined : this.ask(runner);
    if (listeners && mayWait) this.waitAmong(listeners, runner, done);
    else done('unknown');
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private waitAmong(
    listeners: Set<LifeFindingListener>,
    { restart }: Runner,
    done: LifeFindingListener,
  ): void {
    const finish = (finding: LifeFinding) => {
      if (listeners.delete(finish)) done(finding);
    };
    listeners.add(finish);
    const patience = restart.isSuspected ? DOUBTED_PATIENCE_MILLISECONDS : PATIENCE_MILLISECONDS;
    this.options.later(() => finish('unknown'), patience);
  }

  /** Asks a runner unless it is being asked, and returns the listeners for its answer. */
  private ask(runner: Runner): Set<LifeFindingListener> {
    const known = this.waiting.get(runner);
    if (known) return known;
    const listeners = new Set<LifeFindingListener>();
    this.waiting.set(runner, listeners);
    const askedAt = this.now;
    this.options.fetchLife(runner, (life) => {
      this.waiting.delete(runner);
      this.recordAnswer(runner.entry.service, life !== undefined);
      const isSame = life === runner.entry.life;
      if (isSame) this.sameAt.set(runner, askedAt);
      if (life !== undefined) this.options.onLife(runner, life, askedAt);
      const sameOrOther = isSame ? 'same_life' : 'restarted';
      for (const finish of [...listeners]) finish(life === undefined ? 'unknown' : sameOrOther);
    });
    return listeners;
  }

  private isSilent(service: string): boolean {
    const reports = this.services.get(service);
    if (!reports || reports.hasReported || reports.unanswered < UNANSWERED_QUESTIONS) return false;
    return this.now - reports.unansweredAt < SILENT_MILLISECONDS;
  }

  private recordAnswer(service: string, hasLife: boolean): void {
    const { hasReported = false, unanswered = 0 } = this.services.get(service) ?? {};
    const reports = {
      hasReported: hasReported || hasLife,
      unanswered: unanswered + 1,
      unansweredAt: this.now,
    };
    setLatest(this.services, service, reports, MAXIMUM_SERVICES);
  }
}

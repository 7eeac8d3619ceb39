/**
 * Outlier ejection for one runner, from the outcomes that its gate observes. The runner is ejected after
 * consecutive failures, and returns after an ejection time, which doubles, and a further success. Pure: the
 * time is passed in.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import chart from './runnerHealth.chart.json' with { type: 'json' };

/** Options of a {@link GateTaskHealth}. */
export interface GateTaskHealthOptions {
  /** Consecutive failures from one source, attempts or reports, that eject the runner. */
  failuresUntilEjection?: number;
  /** Duration of the first ejection, in ms. */
  ejectionMilliseconds?: number;
  /** Longest duration of an ejection, in ms. */
  maximumEjectionMilliseconds?: number;
}

/** Health states of a runner. */
export type HealthState = StateOf<typeof chart>;

/**
 * Source of an outcome: an attempt or a load report. Their failures are counted separately; otherwise a runner
 * that answers every report but fails every attempt would always count as healthy.
 */
export type OutcomeSource = 'attempt' | 'report';

const DEFAULT_FAILURES_UNTIL_EJECTION = 3;
const DEFAULT_EJECTION_MILLISECONDS = 2_000;
const DEFAULT_MAXIMUM_EJECTION_MILLISECONDS = 60_000;

const interpreter = new ChartInterpreter<HealthState, EventOf<typeof chart>>({ chart });

/** Decides when one runner is ejected and when it returns. */
export class GateTaskHealth {
  private readonly failuresUntilEjection: number;

  private readonly ejectionMilliseconds: number;

  private readonly maximumEjectionMilliseconds: number;

  private readonly failures: Record<OutcomeSource, number> = { attempt: 0, report: 0 };

  private current: HealthState = interpreter.initial();

  /** Monotonic milliseconds. */
  private ejectedUntil = 0;

  private ejections = 0;

  /**
   * @param options - the number of failures and the ejection times.
   */
  constructor({
    failuresUntilEjection = DEFAULT_FAILURES_UNTIL_EJECTION,
    ejectionMilliseconds = DEFAULT_EJECTION_MILLISECONDS,
    maximumEjectionMilliseconds = DEFAULT_MAXIMUM_EJECTION_MILLISECONDS,
  }: GateTaskHealthOptions = {}) {
    this.failuresUntilEjection = failuresUntilEjection;
    this.ejectionMilliseconds = ejectionMilliseconds;
    this.maximumEjectionMilliseconds = maximumEjectionMilliseconds;
  }

  /** @returns The current health state. */
  get state(): HealthState {
    return this.current;
  }

  /**
   * Records a failure. After the ejection time, a failure of an ejected runner ejects it again.
   *
   * @param now - monotonic milliseconds.
   * @param source - the source of the outcome.
   * @returns Whether the state changed.
   */
  recordFailure(now: number, source: OutcomeSource): boolean {
    this.failures[source] += 1;
    if (this.current === 'ejected') {
      if (now >= this.ejectedUntil) this.eject(now);
      return false;
    }
    if (this.failures[source] < this.failuresUntilEjection) return false;
    this.eject(now);
    return true;
  }

  /**
   * Records a success. After the ejection time, it ends the ejection.
   *
   * @param now - monotonic milliseconds.
   * @param source - the source of the outcome.
   * @returns Whether the state changed.
   */
  recordSuccess(now: number, source: OutcomeSource): boolean {
    this.failures[source] = 0;
    if (this.current === 'live') {
      // Only a successful attempt proves that the cause of the last ejection is gone, which resets the backoff.
      if (source === 'attempt') this.ejections = 0;
      return false;
    }
    if (now < this.ejectedUntil) return false;
    this.failures.attempt = 0;
    this.failures.report = 0;
    return this.transition('return');
  }

  private eject(now: number): void {
    const time = this.ejectionMilliseconds * 2 ** this.ejections;
    this.ejectedUntil = now + Math.min(time, this.maximumEjectionMilliseconds);
    if (time < this.maximumEjectionMilliseconds) this.ejections += 1;
    this.transition('eject');
  }

  private transition(event: EventOf<typeof chart>): boolean {
    const { state, accepted } = interpreter.next(this.current, event);
    this.current = state;
    return accepted;
  }
}

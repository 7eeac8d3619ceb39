/**
 * Collects what this daemon has heard of the speed of runners, for its next report to other daemons.
 */
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { ObservedCapacity } from './ObservedCapacity.js';

/** Speed of one runner, as it is sent to other daemons. */
export interface SpeedReport {
  /** Incarnation of the runner. */
  readonly runner: string;
  /** 100 is as usual; 0 if the runner has not stated it. */
  readonly slowdownPercent: number;
  readonly ageMilliseconds: number;
  /** Mean time between the events of a stream; 0 if there is none. */
  readonly eventMicroseconds: number;
}

/** Maximum number of runners in one report, which shares a datagram with the counts of requests. */
const MAXIMUM_RUNNERS = 8;

/** Maximum number of runners that wait for a report; the oldest ones are dropped. */
const MAXIMUM_WAITING = 64;

const PERCENT = 100;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Largest encodable figure, for values that nobody believes anyway. */
const MAXIMUM_FIGURE = 10_000_000;

interface WaitingReport {
  slowdown: number;
  at: number;
  eventMilliseconds: number;
}

function figure(value: number): number {
  return Math.min(MAXIMUM_FIGURE, Math.max(0, Math.round(value)));
}

/** Reports that wait for the next message, by incarnation, the oldest first. */
export class SpeedReports {
  private readonly waiting = new Map<string, WaitingReport>();

  /** @returns Whether there is anything to report. */
  get isEmpty(): boolean {
    return this.waiting.size === 0;
  }

  /**
   * @param life - incarnation of the runner.
   * @param slowdown - how long work takes on its instance, relative to the usual time.
   * @param at - when it stated this, monotonic ms.
   */
  recordStated(life: string, slowdown: number, at: number): void {
    Object.assign(this.renewed(life), { slowdown, at });
  }

  /**
   * @param life - incarnation of the runner.
   * @param milliseconds - mean time between the events of a stream.
   */
  recordEventPace(life: string, milliseconds: number): void {
    this.renewed(life).eventMilliseconds = milliseconds;
  }

  /**
   * Takes the newest reports out; older ones are dropped, since other daemons hear newer figures of these runners.
   *
   * @param now - monotonic ms.
   * @returns At most eight, the newest first.
   */
  take(now: number): SpeedReport[] {
    const newest = [...this.waiting].slice(-MAXIMUM_RUNNERS).reverse();
    this.waiting.clear();
    return newest.map(([runner, { slowdown, at, eventMilliseconds }]) => ({
      runner,
      slowdownPercent: figure(slowdown * PERCENT),
      ageMilliseconds: slowdown === 0 ? 0 : figure(now - at),
      eventMicroseconds: figure(eventMilliseconds * MICROSECONDS_PER_MILLISECOND),
    }));
  }

  private renewed(life: string): WaitingReport {
    const report = this.waiting.get(life) ?? { slowdown: 0, at: 0, eventMilliseconds: 0 };
    this.waiting.delete(life);
    this.waiting.set(life, report);
    const [oldest] = this.waiting.keys();
    if (this.waiting.size > MAXIMUM_WAITING && oldest !== undefined) this.waiting.delete(oldest);
    return report;
  }
}

/** Options of {@link applySpeedReports}. */
export interface ApplySpeedReportsOptions {
  /** Reports of another daemon. */
  reports: readonly SpeedReport[];
  runners: RunnerTable;
  capacity: Pick<ObservedCapacity, 'recordSlowdown'>;
  /** When they arrived, monotonic ms. */
  now: number;
}

/**
 * Applies the reports of another daemon.
 *
 * @param options - the reports and the runners that they are about.
 */
export function applySpeedReports({
  reports,
  runners,
  capacity,
  now,
}: ApplySpeedReportsOptions): void {
  for (const { runner: life, slowdownPercent, ageMilliseconds, eventMicroseconds } of reports) {
    const runner = runners.ofLife(life);
    if (!runner) continue;
    const statedAt = now - ageMilliseconds;
    if (slowdownPercent > 0) {
      capacity.recordSlowdown(runner, slowdownPercent / PERCENT, statedAt, now);
    }
    runner.speed.recordEventPace(eventMicroseconds / MICROSECONDS_PER_MILLISECOND);
  }
}

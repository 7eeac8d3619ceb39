/**
 * Mean backlogs of a service's runners by data centre.
 */
import type { Runner } from '../runners/Runner.js';

/** Time between two measurements, in ms; loads are reported no more often. */
export const INTERVAL_MILLISECONDS = 100;

/** Runners of a data centre that one measurement reads, in turn, so that it costs the same with 60 and 1,500 runners. */
const SAMPLED_RUNNERS = 32;

/**
 * Part of the mean that one interval replaces. With .3, the mean followed so late that the flows of a daemon to three data
 * centres with little spare room began up to 8 times in 15 s; with .5, 3 times.
 */
const SMOOTHING = 0.5;

/** After this many intervals without a measurement, the mean is begun again. */
const LONGEST_GAP_INTERVALS = 10;

/** Smoothed means of one service. */
export class DataCentreBacklogs {
  private readonly means = new Map<string, number>();

  private runners: readonly Runner[] = [];

  private places = new Map<string, Runner[]>();

  private first = 0;

  private measuredAt = Number.NEGATIVE_INFINITY;

  /** @returns Names of the data centres with a usable runner, and their mean backlogs in ms. */
  get byPlace(): ReadonlyMap<string, number> {
    return this.means;
  }

  /**
   * @param place - name of a data centre.
   * @returns Number of its runners.
   */
  runnersIn(place: string): number {
    return this.places.get(place)?.length ?? 0;
  }

  /**
   * Measures the backlogs if the last measurement is an interval old.
   *
   * @param runners - the runners of the service that accept new work; the array is replaced when one changes.
   * @param backlogOf - backlog of a runner, in ms.
   * @param now - monotonic ms.
   * @returns Number of intervals since the last measurement; 0 if that one is still valid.
   */
  measure(runners: readonly Runner[], backlogOf: (runner: Runner) => number, now: number): number {
    const intervals = (now - this.measuredAt) / INTERVAL_MILLISECONDS;
    if (intervals < 1) return 0;
    if (runners !== this.runners) this.group(runners);
    this.measuredAt = now;
    this.first += SAMPLED_RUNNERS;
    for (const [place, members] of this.places)
      this.record(place, members, backlogOf, now, intervals);
    return intervals;
  }

  private group(runners: readonly Runner[]): void {
    this.runners = runners;
    this.places = new Map();
    for (const runner of runners) {
      const { dataCentre } = runner.entry;
      const members = this.places.get(dataCentre);
      if (members) members.push(runner);
      else this.places.set(dataCentre, [runner]);
    }
    for (const place of this.means.keys()) if (!this.places.has(place)) this.means.delete(place);
  }

  private record(
    place: string,
    members: readonly Runner[],
    backlogOf: (runner: Runner) => number,
    now: number,
    intervals: number,
  ): void {
    const sampled = Math.min(SAMPLED_RUNNERS, members.length);
    let sum = 0;
    let count = 0;
    for (let step = 0; step < sampled; step += 1) {
      const runner = members[(this.first + step) % members.length];
      if (runner?.health.isUsable(now)) {
        sum += backlogOf(runner);
        count += 1;
      }
    }
    if (count === 0) {
      this.means.delete(place);
      return;
    }
    const known = intervals < LONGEST_GAP_INTERVALS ? this.means.get(place) : undefined;
    const kept = (1 - SMOOTHING) ** intervals;
    const mean = sum / count;
    this.means.set(place, known === undefined ? mean : known * kept + mean * (1 - kept));
  }
}

/**
 * Sums losses by cause, and by any other key such as route or runner.
 */
// Imports one file, because the package's entry point also loads its log readers and writers, which are not needed here.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';

import type { CauseSum, GroupSum, Loss, LossCause } from './lossTypes.js';

/** Maximum number of request ids per row. They are looked up by hand, so that more would be of no use. */
const MAXIMUM_EXAMPLES = 3;

const MEDIAN = 50;
const PERCENTILE_99 = 99;

/** Significant decimal digits of the histogram; 3 keep a percentile within 0.1 %. */
const SIGNIFICANT_DIGITS = 3;

/** Histogram of the times of one row, in ms. It takes a few KB, whatever the number of values. */
class DurationHistogram {
  private readonly histogram = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });

  record(milliseconds: number | undefined): void {
    if (milliseconds !== undefined)
      this.histogram.recordValue(Math.max(0, Math.round(milliseconds)));
  }

  valueAt(percentile: number): number | undefined {
    if (this.histogram.totalCount === 0) return undefined;
    return this.histogram.getValueAtPercentile(percentile);
  }
}

interface CauseRow {
  readonly loss: Loss;
  requests: number;
  readonly held: DurationHistogram;
  readonly probed: DurationHistogram;
  readonly examples: string[];
}

/** Counts losses by cause, detail and status. */
export class CauseTally {
  private readonly rows = new Map<string, CauseRow>();

  /**
   * @param loss - loss to count.
   */
  add(loss: Loss): void {
    const row = this.rowOf(loss);
    row.requests += 1;
    row.held.record(loss.heldMilliseconds);
    row.probed.record(loss.probedMilliseconds);
    const isExample = loss.request !== '' && row.examples.length < MAXIMUM_EXAMPLES;
    if (isExample) row.examples.push(loss.request);
  }

  /** @returns One row per combination of cause, detail and status, the most frequent first. */
  sums(): CauseSum[] {
    const sorted = [...this.rows].sort(
      ([key, one], [otherKey, other]) =>
        other.requests - one.requests || key.localeCompare(otherKey),
    );
    return sorted.map(([, { loss, requests, held, probed, examples }]) => ({
      cause: loss.cause,
      detail: loss.detail,
      status: loss.status,
      requests,
      medianMilliseconds: held.valueAt(MEDIAN),
      percentile99Milliseconds: held.valueAt(PERCENTILE_99),
      medianProbedMilliseconds: probed.valueAt(MEDIAN),
      examples,
    }));
  }

  private rowOf(loss: Loss): CauseRow {
    const key = [loss.cause, loss.detail, loss.status].join('\n');
    const known = this.rows.get(key);
    if (known) return known;
    const created = {
      loss,
      requests: 0,
      held: new DurationHistogram(),
      probed: new DurationHistogram(),
      examples: [],
    };
    this.rows.set(key, created);
    return created;
  }
}

interface GroupRow {
  requests: number;
  failedAttempts: number;
  readonly causes: Map<LossCause, number>;
}

/** Counts requests, losses and failed attempts by one key, for example the runner. */
export class GroupTally {
  private readonly rows = new Map<string, GroupRow>();

  /**
   * Counts a request that ended.
   *
   * @param key - key of the group.
   * @param loss - loss of the request, or `undefined` if it was answered.
   */
  addRequest(key: string, loss: Loss | undefined): void {
    const row = this.rowOf(key);
    row.requests += 1;
    if (loss) row.causes.set(loss.cause, (row.causes.get(loss.cause) ?? 0) + 1);
  }

  /**
   * Counts a failed attempt.
   *
   * @param key - key of the group.
   */
  addFailedAttempt(key: string): void {
    this.rowOf(key).failedAttempts += 1;
  }

  /** @returns Groups with a loss or a failed attempt, those with the most losses first. */
  sums(): GroupSum[] {
    const sums = [...this.rows].map(([key, { requests, failedAttempts, causes }]) => ({
      key,
      requests,
      lost: [...causes.values()].reduce((sum, count) => sum + count, 0),
      failedAttempts,
      causes: [...causes].sort(
        ([cause, count], [otherCause, otherCount]) =>
          otherCount - count || cause.localeCompare(otherCause),
      ),
    }));
    return sums
      .filter(({ lost, failedAttempts }) => lost > 0 || failedAttempts > 0)
      .sort(
        (one, other) =>
          other.lost - one.lost ||
          other.failedAttempts - one.failedAttempts ||
          one.key.localeCompare(other.key),
      );
  }

  private rowOf(key: string): GroupRow {
    const known = this.rows.get(key);
    if (known) return known;
    const created = { requests: 0, failedAttempts: 0, causes: new Map<LossCause, number>() };
    this.rows.set(key, created);
    return created;
  }
}

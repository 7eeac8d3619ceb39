/**
 * Sums losses by cause and by whatever else they are grouped by.
 */
// The package's own entry also loads its readers and writers of logs, which nothing here needs.
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js';

import type { CauseSum, GroupSum, Loss, LossCause } from './lossTypes.js';

/** Ids to look at by hand; more would be looked at by nobody. */
const MAXIMUM_EXAMPLES = 3;

const MEDIAN = 50;
const PERCENTILE_99 = 99;

/** Keeps a percentile within 0.1 %. */
const SIGNIFICANT_DIGITS = 3;

/** Times of one row, in ms, in a few KB however many there are. */
class Times {
  private readonly recorder = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });

  record(milliseconds: number | undefined): void {
    if (milliseconds !== undefined)
      this.recorder.recordValue(Math.max(0, Math.round(milliseconds)));
  }

  at(percentile: number): number | undefined {
    if (this.recorder.totalCount === 0) return undefined;
    return this.recorder.getValueAtPercentile(percentile);
  }
}

interface CauseRow {
  readonly loss: Loss;
  requests: number;
  readonly held: Times;
  readonly probed: Times;
  readonly examples: string[];
}

/** Sums by cause, detail and status. */
export class CauseTally {
  private readonly rows = new Map<string, CauseRow>();

  /**
   * @param loss - to count.
   */
  add(loss: Loss): void {
    const row = this.rowOf(loss);
    row.requests += 1;
    row.held.record(loss.heldMilliseconds);
    row.probed.record(loss.probedMilliseconds);
    const isExample = loss.request !== '' && row.examples.length < MAXIMUM_EXAMPLES;
    if (isExample) row.examples.push(loss.request);
  }

  /** @returns One row a cause, detail and status, the most frequent first. */
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
      medianMilliseconds: held.at(MEDIAN),
      percentile99Milliseconds: held.at(PERCENTILE_99),
      medianProbedMilliseconds: probed.at(MEDIAN),
      examples,
    }));
  }

  private rowOf(loss: Loss): CauseRow {
    const key = [loss.cause, loss.detail, loss.status].join('\n');
    const known = this.rows.get(key);
    if (known) return known;
    const made = { loss, requests: 0, held: new Times(), probed: new Times(), examples: [] };
    this.rows.set(key, made);
    return made;
  }
}

interface GroupRow {
  requests: number;
  failedAttempts: number;
  readonly causes: Map<LossCause, number>;
}

/** Sums by one key, for example the runner. */
export class GroupTally {
  private readonly rows = new Map<string, GroupRow>();

  /**
   * @param key - of the group.
   * @param loss - of a request that ended, or `undefined` where it was answered.
   */
  addRequest(key: string, loss: Loss | undefined): void {
    const row = this.rowOf(key);
    row.requests += 1;
    if (loss) row.causes.set(loss.cause, (row.causes.get(loss.cause) ?? 0) + 1);
  }

  /**
   * @param key - of the group in which an attempt failed.
   */
  addFailedAttempt(key: string): void {
    this.rowOf(key).failedAttempts += 1;
  }

  /** @returns Groups with a loss or a failed attempt, those that lost most first. */
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
    const made = { requests: 0, failedAttempts: 0, causes: new Map<LossCause, number>() };
    this.rows.set(key, made);
    return made;
  }
}

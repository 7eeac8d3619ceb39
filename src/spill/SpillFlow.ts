/**
 * The share of a data centre's capacity that requests of one other data centre may use.
 */

/** What a {@link SpillFlow} is updated by. Backlogs are smoothed means, in ms. */
export interface SpillFigures {
  readonly nearBacklog: number;
  readonly farBacklog: number;
  /** Runners of the far data centre for each one of the near data centre. */
  readonly runnerRatio: number;
  /** Backlog at which requests begin to queue, in ms. */
  readonly bound: number;
  /** Share of its capacity that the far data centre keeps for its own callers. */
  readonly reservedShare: number;
  /** Time since the last update, in intervals of the spill. */
  readonly intervals: number;
  /** Whether the far data centre sends no work, and the near one receives none. */
  readonly isOneWay: boolean;
  readonly now: number;
}

/** Backlog by which the sender has to be busier before it begins, as a share of the bound; it ends below half of it. */
const MARGIN_SHARE = 0.25;

/** Least margin, in ms: reported backlogs differ by this much when nothing is wrong. */
const LEAST_MARGIN_MILLISECONDS = 10;

/** The share begins to shrink at this part of the reserve's limit. */
const SOFT_LIMIT_SHARE = 0.5;

/** Largest changes of the share in one interval. Reports show the effect of a change after 2 to 5 intervals. */
export const LARGEST_RISE = 0.05;
export const LARGEST_FALL = 0.2;

/**
 * Largest fall in one interval while the sender is still the busier one and the other one keeps its reserve: falling by
 * .2 began and ended a flow with most periods of a backlog that oscillates around the margin every 1.2 s.
 */
const SLOW_FALL = 0.02;

/** Share to which it falls quickly while the sender is still the busier one. */
const LEAST_QUICK_SHARE = 0.1;

/** Time after the end of a flow before it or its reverse begins, in ms; all reports show the end by then. */
const REST_MILLISECONDS = 1_000;

/** Work that may be saved up while nothing leaves, in ms of a usual runner, so that a quiet moment allows no burst. */
const LARGEST_CREDIT_MILLISECONDS = 200;

function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}

/** Decides how much work may leave, by a proportional rule with bounded changes and a rest after the end. */
export class SpillFlow {
  /** Share of the other data centre's capacity beside its reserve that may be used, 0 to 1. */
  share = 0;

  /** Requests that have left since it began. */
  requests = 0;

  /** When the first request left, monotonic ms; missing while none has. */
  begunAt: number | undefined;

  /** Work that may leave now, in ms of a usual runner; below 0 after a large request. */
  private credit = 0;

  private isReserveKept = false;

  /** Capacity of the other data centre beside its reserve, for each unit of the sender's. */
  private capacityRatio = 0;

  private endedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param now - monotonic ms.
   * @returns Whether neither this flow nor its effects are under way, so that the reverse one may begin.
   */
  isSettled(now: number): boolean {
    return this.share === 0 && now - this.endedAt >= REST_MILLISECONDS;
  }

  /** @returns Whether a request may leave now for lack of room. */
  get isOpen(): boolean {
    return this.share > 0 && this.isReserveKept && this.credit >= 0;
  }

  /**
   * Moves the share towards what the backlogs ask for.
   *
   * @param figures - the backlogs of both data centres.
   * @returns Whether the flow has ended by this.
   */
  update(figures: SpillFigures): boolean {
    const { nearBacklog, farBacklog, bound, reservedShare, intervals, now } = figures;
    const margin = Math.max(LEAST_MARGIN_MILLISECONDS, bound * MARGIN_SHARE);
    const difference = nearBacklog - farBacklog;
    const limit = bound * (1 - reservedShare);
    this.isReserveKept = farBacklog < limit;
    this.capacityRatio = figures.runnerRatio * (1 - reservedShare);
    const isBusier = difference > margin && farBacklog < limit * SOFT_LIMIT_SHARE;
    if (this.share === 0 && !(isBusier && figures.isOneWay && this.isSettled(now))) return false;
    const byMargin = clamp((difference - margin / 2) / (margin / 2));
    const softRange = limit * (1 - SOFT_LIMIT_SHARE);
    const byReserve = limit > 0 ? clamp((limit - farBacklog) / softRange) : 0;
    const rise = Math.min(byMargin, byReserve) - this.share;
    const lowest =
      difference > 0
        ? this.lowestShare(byReserve, intervals)
        : this.share - LARGEST_FALL * intervals;
    const next = Math.max(
      lowest,
      this.share + Math.min(rise, LARGEST_RISE * Math.min(1, intervals)),
    );
    this.share = Math.max(0, next);
    if (this.share > 0) return false;
    this.endedAt = now;
    this.credit = 0;
    return true;
  }

  /** Returns the share below which it does not fall now, while the sender is the busier one. */
  private lowestShare(byReserve: number, intervals: number): number {
    const slow = this.share - SLOW_FALL * intervals;
    const quick = this.share - LARGEST_FALL * intervals;
    return Math.min(slow, Math.max(quick, byReserve, LEAST_QUICK_SHARE));
  }

  /**
   * Counts work of requests that stay in the data centre. As its runners are busy, they take as much as they can do, so
   * that the work that may leave is a part of what the runners of the other one can do, whoever else decides.
   *
   *
   * @param work - its time at a usual runner, in ms.
   */
  addNearWork(work: number): void {
    this.credit = Math.min(
      LARGEST_CREDIT_MILLISECONDS,
      this.credit + work * this.share * this.capacityRatio,
    );
  }

  /**
   * Counts a request that leaves for lack of room.
   *
   * @param work - its time at a usual runner, in ms.
   * @param now - monotonic ms.
   * @returns Whether it is the first one since the flow began.
   */
  recordLeaving(work: number, now: number): boolean {
    this.credit -= work;
    this.requests += 1;
    if (this.begunAt !== undefined) return false;
    this.begunAt = now;
    return true;
  }

  /** Forgets the requests that have left, after the end was logged. */
  reset(): void {
    this.begunAt = undefined;
    this.requests = 0;
  }
}

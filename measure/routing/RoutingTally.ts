/**
 * What a run measured.
 *
 * Skew: every half second after the warm-up, the work on the busiest live runner divided by the mean over
 * the live runners. Work is what the engine itself has: prompt tokens not yet processed and declared tokens
 * not yet generated, whoever sent them. The median and the maximum are over these samples.
 *
 * Reuse: of the requests of chats that had an answer before, started after the warm-up, the share whose
 * runner still had the chat's prefix cached.
 */
import type { FakeEngine } from './FakeEngine.js';

/** Bytes of control traffic by cause. */
export type ControlCause = 'home' | 'refusal' | 'report' | 'cacheEvent' | 'digest';

/** The figures of a run. */
export interface RoutingFigures {
  readonly skewMedian: number;
  readonly skewMax: number;
  readonly reuse: number;
  /** Share of requests that got no answer but a refusal. */
  readonly refused: number;
  /** Gates asked for each request. */
  readonly gatesAsked: number;
  /** Requests that waited at a gate, and how long the slowest one in 20 of all had to wait to start. */
  readonly waited: number;
  readonly waitMilliseconds95: number;
  readonly requests: number;
  /** A daemon's, sent. */
  readonly controlBytesPerSecond: number;
}

/** Results of a run. */
export interface RoutingResult extends RoutingFigures {
  readonly decisionsPerSecond: number;
}

/** Collects samples after the warm-up. */
export class RoutingTally {
  measuring = false;

  private readonly skews: number[] = [];

  private readonly waits: number[] = [];

  private returning = 0;

  private warm = 0;

  private refusedRequests = 0;

  private asked = 0;

  private waitedRequests = 0;

  private readonly bytes = new Map<ControlCause, number>();

  /**
   * @param engines - the live ones.
   */
  sample(engines: readonly FakeEngine[]): void {
    if (!this.measuring) return;
    const works = engines.map((engine) => engine.work);
    const mean = works.reduce((sum, work) => sum + work, 0) / works.length;
    if (mean > 0) this.skews.push(Math.max(...works) / mean);
  }

  /**
   * @param returning - whether the chat had an answer before.
   * @param warm - whether its prefix was cached.
   * @param waitMilliseconds - from the caller's call to the start.
   * @param gatesAsked - gates that were asked.
   * @param queued - whether it waited at a gate.
   */
  started(
    returning: boolean,
    warm: boolean,
    waitMilliseconds: number,
    gatesAsked: number,
    queued: boolean,
  ): void {
    if (!this.measuring) return;
    this.waits.push(waitMilliseconds);
    this.asked += gatesAsked;
    if (queued) this.waitedRequests += 1;
    if (!returning) return;
    this.returning += 1;
    if (warm) this.warm += 1;
  }

  /** A request got a refusal as its final answer. */
  refused(): void {
    if (this.measuring) this.refusedRequests += 1;
  }

  /**
   * @param cause - what for.
   * @param bytes - with the overhead of the protocols below.
   */
  control(cause: ControlCause, bytes: number): void {
    if (this.measuring) this.bytes.set(cause, (this.bytes.get(cause) ?? 0) + bytes);
  }

  /**
   * @param seconds - measured.
   * @param daemons - that shared the traffic.
   * @returns Bytes a second that one daemon sent, by cause.
   */
  controlByCause(seconds: number, daemons: number): Record<string, number> {
    const entries = [...this.bytes].map(([cause, bytes]) => [cause, bytes / seconds / daemons]);
    return Object.fromEntries(entries) as Record<string, number>;
  }

  /**
   * @param seconds - measured.
   * @param daemons - that shared the traffic.
   * @returns All figures.
   */
  figures(seconds: number, daemons: number): RoutingFigures {
    const requests = this.waits.length + this.refusedRequests;
    const causes = Object.values(this.controlByCause(seconds, daemons));
    return {
      skewMedian: RoutingTally.quantile(this.skews, 0.5),
      skewMax: RoutingTally.quantile(this.skews, 1),
      reuse: this.warm / Math.max(1, this.returning),
      refused: this.refusedRequests / Math.max(1, requests),
      gatesAsked: this.asked / Math.max(1, this.waits.length),
      waited: this.waitedRequests / Math.max(1, this.waits.length),
      waitMilliseconds95: RoutingTally.quantile(this.waits, 0.95),
      requests,
      controlBytesPerSecond: causes.reduce((sum, bytes) => sum + bytes, 0),
    };
  }

  private static quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    const place = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
    return sorted[place] ?? 0;
  }
}

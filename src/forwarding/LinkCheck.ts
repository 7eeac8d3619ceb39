/**
 * Tells a dark runner from a full or cut link of this daemon's own, by asking another runner at the same time.
 *
 * What goes wrong without it: a large configuration, or a squeeze, fills the daemon's link for a second. Whatever
 * runners say waits behind it, and so does their acceptance of new connections. Each runner then looks dark; the daemon
 * gives up streams that are well served, finds nobody to go on with, and cuts them. One would see connections given up
 * at one daemon for all runners alike. With configurations of 1,400 routes on links of 10 Mbit/s a daemon gave up
 * 549 sound runners in 35 s of a day with 75 daemons, and 45 answers were cut.
 */
import type { Log } from '../logging/Log.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import { probeRunner } from './probeRunner.js';

/** Options of a {@link LinkCheck}. */
export interface LinkCheckOptions {
  /** All runners that are listed. */
  runners: () => readonly Runner[];
  clock: Clock;
  log: Log;
  metrics: Pick<ForwardingMetrics, 'linkChecks'>;
}

/** Told whether the link carries what other runners say. */
export type LinkListener = (isSound: boolean) => void;

/**
 * How many runners are asked at once. Of three that were heard from last, all are dark at the same time only where most
 * runners are; each one asked costs a connection, about one in a thousand requests.
 */
const WITNESSES = 3;

interface Asked {
  readonly suspect: Runner;
  readonly done: LinkListener;
}

/** Owns the check under way; those who ask meanwhile share it. */
export class LinkCheck {
  private readonly options: LinkCheckOptions;

  private asked: Asked[] = [];

  /** Runners that have not told anything yet in the check under way. */
  private pending = 0;

  /** Since when no runner accepts connections, monotonic ms. */
  private suspectSince: number | undefined;

  /**
   * @param options - whom to ask.
   */
  constructor(options: LinkCheckOptions) {
    this.options = options;
  }

  /**
   * Asks the runners that were heard from last: they are the least likely to be dark themselves. Where they are, or
   * there are no others, nothing is known, and whoever asks should wait.
   *
   * @param suspect - a runner that does not accept connections.
   * @param done - called once.
   */
  ask(suspect: Runner, done: LinkListener): void {
    this.asked.push({ suspect, done });
    if (this.asked.length > 1) return;
    const witnesses = this.witnessesBeside(suspect);
    this.pending = witnesses.length;
    if (witnesses.length === 0) this.finish(undefined);
    for (const witness of witnesses) {
      probeRunner(witness, (result) => this.heard(witness, result !== 'timed_out'));
    }
  }

  private witnessesBeside({ entry }: Runner): Runner[] {
    return this.options
      .runners()
      .filter((runner) => runner.entry.life !== entry.life)
      .sort((one, other) => other.lastHeardAt - one.lastHeardAt || 0)
      .slice(0, WITNESSES);
  }

  private heard(witness: Runner, isThere: boolean): void {
    this.pending -= 1;
    if (isThere) this.finish(witness);
    else if (this.pending === 0) this.finish(undefined);
  }

  /** The first word of a witness ends the check; what the others say later finds nobody waiting. */
  private finish(witness: Runner | undefined): void {
    const asked = this.asked.splice(0);
    if (asked.length === 0) return;
    this.note(witness);
    for (const { suspect, done } of asked) {
      // A runner that asks after itself through a check begun for another one is not dark.
      done(witness !== undefined && witness.entry.life !== suspect.entry.life);
    }
  }

  private note(witness: Runner | undefined): void {
    const { clock, log, metrics } = this.options;
    const now = clock.monotonicMilliseconds();
    metrics.linkChecks.increment({ result: witness ? 'sound' : 'suspect' });
    if (!witness && this.suspectSince === undefined) {
      this.suspectSince = now;
      log.write(forwardingLogEvents.linkSuspected, {});
    } else if (witness && this.suspectSince !== undefined) {
      const milliseconds = Math.round(now - this.suspectSince);
      this.suspectSince = undefined;
      log.write(forwardingLogEvents.linkSound, { witness: witness.entry.id, milliseconds });
    }
  }
}

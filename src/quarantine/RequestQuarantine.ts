/**
 * Keeps a request that crashes runners from reaching more of them.
 *
 * Without it, each arrival looks like a new request to each daemon: a single caller that repeats a request that
 * crashes runners takes down all runners of a small site in turn, with everything that runs there.
 */
import murmurhash from 'murmurhash';

import type { Log } from '../logging/Log.js';
import type { Counter } from '../metrics/Counter.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import type { InterruptedRequest, CrashDetectorOptions } from './CrashDetector.js';
import { CrashDetector } from './CrashDetector.js';
import { QuarantineDecisions } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import type { CrashSummary, RequestState } from './quarantineTypes.js';

/** Maximum number of digests in one log line. */
const MAXIMUM_LOGGED_DIGESTS = 12;

const MILLISECONDS_PER_SECOND = 1_000;

/** Called when an in-flight request is quarantined. */
export type QuarantineListener = () => void;

/** Options of a {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  runners: CrashDetectorOptions['runners'];
  clock: Clock;
  log: Log;
  /** Counts the crashes that this daemon has detected. */
  crashes: Pick<Counter, 'increment'>;
  /** Called when a change has to be sent to other daemons. */
  onChange?: () => void;
  probe?: CrashDetectorOptions['probe'];
  later?: CrashDetectorOptions['later'];
}

/** Holds the crash records and the in-flight requests. */
export class RequestQuarantine {
  readonly decisions: QuarantineDecisions;

  private readonly options: RequestQuarantineOptions;

  private readonly watch: CrashDetector;

  /** The daemon whose records are being merged at the moment; `undefined` outside a merge. */
  private mergeSource: string | undefined;

  /** Listeners of the in-flight requests, by digest. */
  private readonly underWay = new Map<string, Set<QuarantineListener>>();

  /**
   * @param options - the runners, and the listener for changes.
   */
  constructor(options: RequestQuarantineOptions) {
    const { runners, clock, probe, later } = options;
    this.options = options;
    this.decisions = new QuarantineDecisions({
      onStateChange: (digest, before) => this.handleStateChange(digest, before),
    });
    this.watch = new CrashDetector({
      runners,
      clock,
      ...(probe && { probe }),
      ...(later && { later }),
      onCrash: ({ runner, crash, digests, isFirst }) => {
        const now = clock.monotonicMilliseconds();
        if (isFirst) options.crashes.increment();
        options.log.write(quarantineLogEvents.runnerCrashed, {
          runner: runner.entry.id,
          life: crash.life,
          milliseconds: Math.round(now - crash.at),
          requests: digests.length,
          digests: digests.slice(0, MAXIMUM_LOGGED_DIGESTS).join(),
        });
        this.decisions.crashed(digests, crash, now);
        this.notifyChange();
      },
    });
  }

  /**
   * @param digest - digest of a request.
   * @returns Its state.
   */
  stateOf(digest: string): RequestState {
    return this.decisions.stateOf(digest);
  }

  /**
   * @param digest - digest of a request.
   * @returns Whether more than one runner has crashed while running it.
   */
  hasRepeatedCrashes(digest: string): boolean {
    return this.decisions.crashesOf(digest) > 1;
  }

  /**
   * @param digest - digest of a quarantined request.
   * @returns Value of the `Retry-After` header, in whole seconds.
   */
  retryAfterSeconds(digest: string): number {
    const remaining = this.decisions.remainingMilliseconds(digest, this.now);
    return Math.ceil(remaining / MILLISECONDS_PER_SECOND);
  }

  /**
   * @param digest - digest of a request that has arrived.
   * @returns Whether the same request is in flight at this daemon.
   */
  isInFlight(digest: string): boolean {
    return this.underWay.has(digest);
  }

  /**
   * Adds a request that is about to be sent to runners.
   *
   * @param digest - its digest.
   * @param listener - called when the request must be sent to no more runners.
   */
  begin(digest: string, listener: QuarantineListener): void {
    const listeners = this.underWay.get(digest) ?? new Set();
    listeners.add(listener);
    this.underWay.set(digest, listeners);
  }

  /**
   * Removes a request that has ended.
   *
   * @param digest - its digest.
   * @param listener - the one that was given to {@link begin}.
   */
  end(digest: string, listener: QuarantineListener): void {
    const listeners = this.underWay.get(digest);
    listeners?.delete(listener);
    if (listeners?.size === 0) this.underWay.delete(digest);
  }

  /**
   * Records a request whose connection to the runner broke.
   *
   * @param runner - the runner on which it was running.
   * @param request - the interrupted request.
   */
  broke(runner: Runner, request: InterruptedRequest): void {
    this.watch.recordInterrupted(runner, request);
  }

  /**
   * Records a request that this daemon has aborted.
   *
   * @param runner - the runner on which it was running.
   * @param request - the aborted request.
   */
  abandoned(runner: Runner, request: InterruptedRequest): void {
    this.watch.recordAbandoned(runner, request);
  }

  /**
   * Records that a runner's host has refused a connection.
   *
   * @param runner - the runner.
   */
  refused(runner: Runner): void {
    this.watch.recordRefusal(runner);
  }

  /**
   * Records that a runner that crashes when it rejects too many requests has rejected one.
   *
   * @param runner - the runner.
   */
  rejected({ entry }: Runner): void {
    this.decisions.rejected(murmurhash.v3(entry.life), this.now);
    this.notifyChange();
  }

  /**
   * Records that a runner has answered a request completely.
   *
   * @param digest - digest of the request.
   */
  answered(digest: string): void {
    this.decisions.answered(digest, this.now);
    this.notifyChange();
  }

  /**
   * Merges the records of another daemon, or those from the store.
   *
   * @param news - the records.
   * @param source - name or address of the daemon, or `store`.
   */
  merge(news: readonly CrashSummary[], source: string): void {
    this.mergeSource = source;
    this.decisions.merge(news, this.now);
    this.mergeSource = undefined;
    this.notifyChange();
  }

  /**
   * Releases a request for an operator.
   *
   * @param digest - digest of the request.
   * @returns Whether it was quarantined.
   */
  release(digest: string): boolean {
    const wasQuarantined = this.decisions.release(digest, this.now);
    this.notifyChange();
    return wasQuarantined;
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private notifyChange(): void {
    this.options.onChange?.();
  }

  private handleStateChange(digest: string, before: RequestState): void {
    const { log } = this.options;
    if (before === 'quarantined') {
      log.write(quarantineLogEvents.requestReleased, { digest });
      return;
    }
    if (this.decisions.stateOf(digest) !== 'quarantined') return;
    const crashes = this.decisions.summaryOf(digest)?.crashes ?? [];
    log.write(quarantineLogEvents.requestQuarantined, {
      digest,
      toldBy: this.mergeSource,
      lives: crashes.map(({ life }) => life).join(),
      ages: crashes.map(({ at }) => Math.round(this.now - at)).join(),
      underWay: this.underWay.get(digest)?.size ?? 0,
    });
    for (const listener of [...(this.underWay.get(digest) ?? [])]) listener();
  }
}

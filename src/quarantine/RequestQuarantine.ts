/**
 * Keeps requests that crash runners from reaching more of them.
 *
 * Without it each arrival is a new request to each daemon: one caller that repeats a request under which runners crash
 * ends all runners of a small site in turn, with all that runs there.
 */
import type { Log } from '../logging/Log.js';
import type { Counter } from '../metrics/Counter.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import type { BrokenRequest, CrashWatchOptions } from './CrashWatch.js';
import { CrashWatch } from './CrashWatch.js';
import { QuarantineDecisions } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import type { CrashNews, RequestStanding } from './quarantineTypes.js';

/** Digests in one line of the log. */
const MAXIMUM_LOGGED = 12;

const MILLISECONDS_PER_SECOND = 1_000;

/** Called when a request that is under way is quarantined. */
export type QuarantineListener = () => void;

/** Options of a {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  runners: CrashWatchOptions['runners'];
  clock: Clock;
  log: Log;
  /** Counts crashes that this daemon has seen. */
  crashes: Pick<Counter, 'increment'>;
  /** Something has changed that others should know. */
  onChange?: () => void;
  probe?: CrashWatchOptions['probe'];
  later?: CrashWatchOptions['later'];
}

/** Holds what is known, and the requests under way. */
export class RequestQuarantine {
  readonly decisions: QuarantineDecisions;

  private readonly options: RequestQuarantineOptions;

  private readonly watch: CrashWatch;

  /** Who is telling something at the moment. */
  private teller: string | undefined;

  /** Requests under way by digest. */
  private readonly underWay = new Map<string, Set<QuarantineListener>>();

  /**
   * @param options - runners, and who is told.
   */
  constructor(options: RequestQuarantineOptions) {
    const { runners, clock, probe, later } = options;
    this.options = options;
    this.decisions = new QuarantineDecisions({
      onStanding: (digest, before) => this.standingChanged(digest, before),
    });
    this.watch = new CrashWatch({
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
          digests: digests.slice(0, MAXIMUM_LOGGED).join(),
        });
        this.decisions.crashed(digests, crash, now);
        this.changed();
      },
    });
  }

  /**
   * @param digest - of a request.
   * @returns What may be done with it.
   */
  standingOf(digest: string): RequestStanding {
    return this.decisions.standingOf(digest);
  }

  /**
   * @param digest - of a request.
   * @returns Whether more than one runner has crashed under it.
   */
  isRepeatedSuspect(digest: string): boolean {
    return this.decisions.crashesOf(digest) > 1;
  }

  /**
   * @param digest - of a request in quarantine.
   * @returns When to come back, in whole seconds.
   */
  retryAfterSeconds(digest: string): number {
    const remaining = this.decisions.remainingMilliseconds(digest, this.now);
    return Math.ceil(remaining / MILLISECONDS_PER_SECOND);
  }

  /**
   * @param digest - of a request that has come.
   * @returns Whether the same request is under way at this daemon.
   */
  isUnderWay(digest: string): boolean {
    return this.underWay.has(digest);
  }

  /**
   * @param digest - of a request that is on its way to runners.
   * @param listener - told when it must reach no more of them.
   */
  begin(digest: string, listener: QuarantineListener): void {
    const listeners = this.underWay.get(digest) ?? new Set();
    listeners.add(listener);
    this.underWay.set(digest, listeners);
  }

  /**
   * @param digest - of a request that is over.
   * @param listener - as it began.
   */
  end(digest: string, listener: QuarantineListener): void {
    const listeners = this.underWay.get(digest);
    listeners?.delete(listener);
    if (listeners?.size === 0) this.underWay.delete(digest);
  }

  /**
   * @param runner - whose connection broke off under a request.
   * @param request - that was there.
   */
  broke(runner: Runner, request: BrokenRequest): void {
    this.watch.broke(runner, request);
  }

  /**
   * @param runner - at which a request was given up.
   * @param request - that was there.
   */
  abandoned(runner: Runner, request: BrokenRequest): void {
    this.watch.abandoned(runner, request);
  }

  /**
   * @param runner - whose host has refused a connection.
   */
  refused(runner: Runner): void {
    this.watch.refused(runner);
  }

  /**
   * @param digest - of a request that a runner has answered whole.
   */
  answered(digest: string): void {
    this.decisions.answered(digest, this.now);
    this.changed();
  }

  /**
   * @param news - of another daemon, or as the store keeps them.
   * @param teller - who tells them.
   */
  learn(news: readonly CrashNews[], teller: string): void {
    this.teller = teller;
    this.decisions.merge(news, this.now);
    this.teller = undefined;
    this.changed();
  }

  /**
   * @param digest - that an operator lets through again.
   * @returns Whether it was in quarantine.
   */
  release(digest: string): boolean {
    const wasQuarantined = this.decisions.release(digest, this.now);
    this.changed();
    return wasQuarantined;
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private changed(): void {
    this.options.onChange?.();
  }

  private standingChanged(digest: string, before: RequestStanding): void {
    const { log } = this.options;
    if (before === 'quarantined') {
      log.write(quarantineLogEvents.requestReleased, { digest });
      return;
    }
    if (this.decisions.standingOf(digest) !== 'quarantined') return;
    const crashes = this.decisions.newsOf(digest)?.crashes ?? [];
    log.write(quarantineLogEvents.requestQuarantined, {
      digest,
      toldBy: this.teller,
      lives: crashes.map(({ life }) => life).join(),
      ages: crashes.map(({ at }) => Math.round(this.now - at)).join(),
      underWay: this.underWay.get(digest)?.size ?? 0,
    });
    for (const listener of [...(this.underWay.get(digest) ?? [])]) listener();
  }
}

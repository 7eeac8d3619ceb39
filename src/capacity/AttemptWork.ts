/**
 * Counts the work of one attempt at its runner: what the runner still has to read for it, and the memory that it uses.
 */
import type { Runner } from '../runners/Runner.js';
import { boundedTokens } from './capacityTypes.js';
import type { ObservedCapacity } from './ObservedCapacity.js';
import type { SpeedReports } from './SpeedReports.js';

/** Fewest events after which the pace of a stream is recorded. */
const LEAST_EVENTS = 4;

/** Receives what attempts show of the speed of their runners. */
export interface WorkObserver {
  readonly capacity: Pick<
    ObservedCapacity,
    'applies' | 'pendingTokensOf' | 'recordFirstEvent' | 'recordAnswer' | 'roundsUntilAnswered'
  >;
  readonly reports: Pick<SpeedReports, 'recordEventPace'>;
}

/** Options of an {@link AttemptWork}. */
export interface AttemptWorkOptions {
  runner: Runner;
  /** Prompt tokens that the runner has to read; missing for a plain request. */
  unreadTokens?: number | undefined;
  /** Expected tokens of the answer. */
  answerTokens: number;
  observer: WorkObserver;
}

/** Work of one attempt, from its start to its end. */
export class AttemptWork {
  private readonly options: AttemptWorkOptions;

  private startedAt = 0;

  private rounds = 1;

  private firstEventAt: number | undefined;

  private lastEventAt = 0;

  private events = 0;

  /** Tokens that the runner had to read for other requests at the start. */
  private tokensAhead = 0;

  private pendingTokens = 0;

  private memoryTokens = 0;

  /**
   * @param options - the runner and the tokens of the request.
   */
  constructor(options: AttemptWorkOptions) {
    this.options = options;
  }

  /**
   * The request is sent.
   *
   * @param now - monotonic ms.
   */
  start(now: number): void {
    const { runner, unreadTokens, answerTokens } = this.options;
    this.startedAt = now;
    const { capacity } = this.options.observer;
    this.tokensAhead = capacity.pendingTokensOf(runner);
    this.rounds = capacity.roundsUntilAnswered(runner);
    this.pendingTokens = boundedTokens(unreadTokens ?? 0);
    this.memoryTokens = this.pendingTokens + boundedTokens(answerTokens);
    runner.pendingTokens += this.pendingTokens;
    runner.memoryTokens += this.memoryTokens;
  }

  /**
   * Data of the answer's body has arrived.
   *
   * @param now - monotonic ms.
   */
  receive(now: number): void {
    this.events += 1;
    this.lastEventAt = now;
    if (this.firstEventAt !== undefined) return;
    this.firstEventAt = now;
    this.releasePending();
    const { runner, unreadTokens, observer } = this.options;
    const milliseconds = now - this.startedAt;
    if (unreadTokens === undefined) {
      // A request that waits in its runner's queue takes longer than its own work does.
      observer.capacity.recordAnswer(runner, milliseconds / this.rounds, now);
    } else {
      const tokens = this.tokensAhead + unreadTokens;
      observer.capacity.recordFirstEvent(runner, tokens, milliseconds, now);
    }
  }

  /** The attempt has ended. */
  end(): void {
    const { runner, observer } = this.options;
    this.releasePending();
    runner.memoryTokens -= this.memoryTokens;
    this.memoryTokens = 0;
    const isStream = this.options.unreadTokens !== undefined && this.events >= LEAST_EVENTS;
    if (!isStream || this.firstEventAt === undefined) return;
    const pace = (this.lastEventAt - this.firstEventAt) / (this.events - 1);
    this.events = 0;
    runner.speed.recordEventPace(pace);
    observer.reports.recordEventPace(runner.entry.life, pace);
  }

  private releasePending(): void {
    this.options.runner.pendingTokens -= this.pendingTokens;
    this.pendingTokens = 0;
  }
}

/**
 * Ways to keep a fleet's retry budget that were weighed against the buckets of `src/forwarding/SharedRetryBudget.ts`.
 */
import type { SharedRetryBudgetOptions } from '../../src/forwarding/SharedRetryBudget.js';
import type { RetryAccount } from '../../src/forwarding/testRetryFleet.js';

/** Part of a window's limit that is spent; what is on the way when a window ends has to fit too. */
const SPENT_SHARE = 0.85;

const TELL_MILLISECONDS = 1_000;

/** Daemons that remember what another one has told. */
const KEEPERS = 2;

function dropBefore(times: number[], start: number): void {
  const keep = times.findIndex((time) => time >= start);
  times.splice(0, keep === -1 ? times.length : keep);
}

/** Spends what a sliding window of this process allows; a new process has a whole window before it. */
export class WindowBudget implements RetryAccount {
  protected readonly options: SharedRetryBudgetOptions;

  protected readonly retries: number[] = [];

  private readonly requests: number[] = [];

  /**
   * @param options - the operators' limits.
   */
  constructor(options: SharedRetryBudgetOptions) {
    this.options = options;
  }

  /**
   * @param _service - the only one.
   * @param now - monotonic milliseconds.
   */
  recordRequest(_service: string, now: number): void {
    this.requests.push(now);
  }

  /**
   * @param _service - the only one.
   * @param now - monotonic milliseconds.
   * @returns Whether one more may be sent.
   */
  take(_service: string, now: number): boolean {
    const { ratio, allowance, daemons, windowMilliseconds } = this.options;
    dropBefore(this.requests, now - windowMilliseconds);
    dropBefore(this.retries, now - windowMilliseconds);
    const limit = (ratio * this.requests.length + allowance / Math.max(1, daemons())) * SPENT_SHARE;
    if (this.retries.length + 1 > limit) return false;
    this.retries.push(now);
    return true;
  }
}

/** The same, but a process that starts later than the fleet sends nothing once more for a window. */
export class OwingBudget extends WindowBudget {
  override take(service: string, now: number): boolean {
    const { startedAt = 0, windowMilliseconds } = this.options;
    if (startedAt > 0 && now - startedAt < windowMilliseconds) return false;
    return super.take(service, now);
  }
}

/** What daemons of one fleet have told each other of their retries. */
export class ToldRetries {
  private readonly told = new Map<number, { retries: readonly number[]; keepers: string[] }>();

  private readonly lives = new Map<number, number>();

  private readonly daemons: number;

  /**
   * @param daemons - in the fleet.
   */
  constructor(daemons: number) {
    this.daemons = daemons;
  }

  /**
   * @param daemon - that tells the next ones.
   * @param retries - when it sent its latest ones.
   */
  tell(daemon: number, retries: readonly number[]): void {
    const others = Array.from({ length: KEEPERS }, (_, index) => daemon + index + 1);
    const keepers = others.map((other) => this.lifeOf(other % this.daemons));
    this.told.set(daemon, { retries: [...retries], keepers });
  }

  /**
   * @param daemon - that has ended, with what others told it.
   */
  ended(daemon: number): void {
    this.lives.set(daemon, (this.lives.get(daemon) ?? 0) + 1);
  }

  /**
   * @param daemon - that has started.
   * @returns What its life before has told, or `undefined` where nobody is left who heard it.
   */
  recall(daemon: number): readonly number[] | undefined {
    const told = this.told.get(daemon);
    const isKept = told?.keepers.some(
      (keeper) => this.lifeOf(Number(keeper.split('/')[0])) === keeper,
    );
    return isKept ? told?.retries : undefined;
  }

  private lifeOf(daemon: number): string {
    return `${daemon}/${this.lives.get(daemon) ?? 0}`;
  }
}

/** A window that outlives its process: told to others every second, and asked back at the start. */
export class ToldBudget extends OwingBudget {
  private readonly memory: ToldRetries;

  private readonly daemon: number;

  private readonly isKnown: boolean;

  private toldAt = 0;

  /**
   * @param options - the operators' limits.
   * @param memory - of the fleet.
   * @param daemon - which one this is.
   */
  constructor(options: SharedRetryBudgetOptions, memory: ToldRetries, daemon: number) {
    super(options);
    this.memory = memory;
    this.daemon = daemon;
    const before = memory.recall(daemon);
    this.isKnown = before !== undefined;
    this.retries.push(...(before ?? []));
  }

  override take(service: string, now: number): boolean {
    const may = this.isKnown
      ? WindowBudget.prototype.take.call(this, service, now)
      : super.take(service, now);
    if (now - this.toldAt >= TELL_MILLISECONDS) {
      this.memory.tell(this.daemon, this.retries);
      this.toldAt = now;
    }
    return may;
  }

  /** What it remembered for others is gone. */
  end(): void {
    this.memory.ended(this.daemon);
  }
}

/** One window for the fleet, kept by the first daemon, which is asked before each retry; a new one owes a window. */
export class CentralBudget implements RetryAccount {
  private readonly owner: { budget?: WindowBudget | undefined };

  private readonly isOwner: boolean;

  /**
   * @param options - the operators' limits.
   * @param owner - of the fleet.
   * @param daemon - which one this is.
   */
  constructor(options: SharedRetryBudgetOptions, owner: CentralBudget['owner'], daemon: number) {
    this.owner = owner;
    this.isOwner = daemon === 0;
    if (this.isOwner) this.owner.budget = new OwingBudget({ ...options, daemons: () => 1 });
  }

  /**
   * @param service - the only one.
   * @param now - monotonic milliseconds.
   */
  recordRequest(service: string, now: number): void {
    this.owner.budget?.recordRequest(service, now);
  }

  /**
   * @param service - the only one.
   * @param now - monotonic milliseconds.
   * @returns Whether one more may be sent; never while the owner is away.
   */
  take(service: string, now: number): boolean {
    return this.owner.budget?.take(service, now) ?? false;
  }

  /** The owner takes the account with it. */
  end(): void {
    if (this.isOwner) this.owner.budget = undefined;
  }
}

/**
 * The users' disruption `garble`: a share of a service's runners breaks off or spoils a share of its answers, for some
 * seconds, more than once. The doses are the largest of one entry in the lists of the small sites:
 * `{ kind = "garble", share = 0.6, x = 0.03, for_s = 5.0 }`.
 */
import type { RawRunner } from './RawRunner.js';

/** Share of the runners. */
const RUNNER_SHARE = 0.6;

/** Share of the answers that such a runner gives meanwhile. */
const ANSWER_SHARE = 0.03;

const FOR_MILLISECONDS = 5_000;

/** From the start of one to the start of the next, in ms. */
const INTERVAL_MILLISECONDS = 8_000;

/** Options of {@link Garble}. */
export interface GarbleOptions {
  /** Number of runners of the service. */
  runners: number;
  /** Whether the disruption happens at all. */
  isOn: boolean;
}

/** Says which answers may be spoiled, and keeps to the doses. */
export class Garble {
  private readonly options: GarbleOptions;

  private readonly startedAt = performance.now();

  private readonly faulty: RawRunner[] = [];

  private readonly answers = new Map<RawRunner, number>();

  /**
   * @param options - the runners.
   */
  constructor(options: GarbleOptions) {
    this.options = options;
  }

  /**
   * Counts an answer that a runner is about to give.
   *
   * @param runner - the runner.
   */
  count(runner: RawRunner): void {
    const most = Math.floor(this.options.runners * RUNNER_SHARE);
    if (!this.faulty.includes(runner) && this.faulty.length < most) this.faulty.push(runner);
    if (this.isActive && this.faulty.includes(runner))
      this.answers.set(runner, (this.answers.get(runner) ?? 0) + 1);
  }

  /**
   * @param runner - a runner whose answer was counted.
   * @returns Whether it may be spoiled.
   */
  maySpoil(runner: RawRunner): boolean {
    if (!this.options.isOn || !this.isActive) return false;
    return runner.spoiled + 1 <= (this.answers.get(runner) ?? 0) * ANSWER_SHARE;
  }

  /**
   * @param runner - a runner.
   * @returns Whether it is one of those that the disruption concerns.
   */
  isFaulty(runner: RawRunner): boolean {
    return this.faulty.includes(runner);
  }

  /**
   * @param runner - a runner.
   * @returns Whether another one may spoil an answer as well.
   */
  anotherMaySpoil(runner: RawRunner): boolean {
    return this.faulty.some((other) => other !== runner && this.maySpoil(other));
  }

  /**
   * @param runner - a runner.
   * @returns What it did, for the record.
   */
  report(runner: RawRunner): string {
    const meanwhile = this.answers.get(runner) ?? 0;
    return `${runner.id}: ${runner.answers} answers, ${meanwhile} in the disruption, ${runner.spoiled} spoiled`;
  }

  private get isActive(): boolean {
    return (performance.now() - this.startedAt) % INTERVAL_MILLISECONDS < FOR_MILLISECONDS;
  }
}

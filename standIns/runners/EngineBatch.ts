/**
 * Continuous batching of an engine stand-in: each step prefills some tokens and generates one token for
 * every sequence in the batch. The most urgent sequences enter first; there is no preemption.
 */
import { PRIORITIES } from '../../src/gates/gateTypes.js';

/** One attempt in the engine. */
export interface BatchSequence {
  readonly attemptId: string;
  readonly priority: string;
  /** Prompt tokens that are not cached and have to be prefilled. */
  prefillTokens: number;
  /** Tokens that are still to be generated. */
  generateTokens: number;
  /** Called when the sequence enters the batch. */
  readonly enter: () => void;
  /** Called for each generated token. */
  readonly generate: () => void;
  /** Called after the last token. */
  readonly finish: () => void;
}

/** Options of an {@link EngineBatch}. */
export interface EngineBatchOptions {
  stepMilliseconds?: number;
  maximumSequences?: number;
  /** Prompt tokens that all sequences together prefill in one step. */
  prefillTokensPerStep?: number;
}

/** Snapshot of the work in an engine. */
export interface BatchLoad {
  /** Tokens to prefill and to generate. */
  readonly tokens: number;
  readonly running: number;
  readonly queued: number;
  readonly tokensPerSecond: number;
}

const DEFAULT_STEP_MILLISECONDS = 4;
const DEFAULT_MAXIMUM_SEQUENCES = 32;
const DEFAULT_PREFILL_TOKENS_PER_STEP = 512;
const MILLISECONDS_PER_SECOND = 1_000;

function rank({ priority }: BatchSequence): number {
  const index = PRIORITIES.findIndex((known) => known === priority);
  return index < 0 ? PRIORITIES.length : index;
}

/** Steps while there is work. */
export class EngineBatch {
  private readonly stepMilliseconds: number;

  private readonly maximumSequences: number;

  private readonly prefillTokensPerStep: number;

  private waiting: BatchSequence[] = [];

  private running: BatchSequence[] = [];

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  /** Milliseconds that each step takes in addition; set by faults. */
  extraStepMilliseconds = 0;

  /** Whether the engine is paused; set by faults. */
  frozen = false;

  /**
   * @param options - step time and sizes.
   */
  constructor({
    stepMilliseconds = DEFAULT_STEP_MILLISECONDS,
    maximumSequences = DEFAULT_MAXIMUM_SEQUENCES,
    prefillTokensPerStep = DEFAULT_PREFILL_TOKENS_PER_STEP,
  }: EngineBatchOptions = {}) {
    this.stepMilliseconds = stepMilliseconds;
    this.maximumSequences = maximumSequences;
    this.prefillTokensPerStep = prefillTokensPerStep;
  }

  /**
   * @param sequence - joins the queue behind its own priority.
   */
  add(sequence: BatchSequence): void {
    const behind = this.waiting.findIndex((other) => rank(other) > rank(sequence));
    this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, sequence);
    this.arm();
  }

  /**
   * @param attemptId - leaves the queue or the batch.
   * @returns Whether it was there.
   */
  remove(attemptId: string): boolean {
    const before = this.waiting.length + this.running.length;
    this.waiting = this.waiting.filter((sequence) => sequence.attemptId !== attemptId);
    this.running = this.running.filter((sequence) => sequence.attemptId !== attemptId);
    return this.waiting.length + this.running.length < before;
  }

  /** @returns The work of this moment. */
  load(): BatchLoad {
    const sequences = [...this.waiting, ...this.running];
    const tokens = sequences.reduce(
      (sum, { prefillTokens, generateTokens }) => sum + prefillTokens + generateTokens,
      0,
    );
    const stepsPerSecond =
      MILLISECONDS_PER_SECOND / (this.stepMilliseconds + this.extraStepMilliseconds);
    const tokensPerStep = this.prefillTokensPerStep + this.maximumSequences;
    return {
      tokens,
      running: this.running.length,
      queued: this.waiting.length,
      tokensPerSecond: Math.round(stepsPerSecond * tokensPerStep),
    };
  }

  /** Applies a change of {@link EngineBatch.frozen}. */
  arm(): void {
    const idle = this.waiting.length + this.running.length === 0;
    if (this.timer || this.stopped || this.frozen || idle) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (!this.frozen) this.step();
      this.arm();
    }, this.stepMilliseconds + this.extraStepMilliseconds);
  }

  /** Drops everything. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private step(): void {
    while (this.running.length < this.maximumSequences && this.waiting.length > 0) {
      const sequence = this.waiting.shift()!;
      this.running.push(sequence);
      sequence.enter();
    }
    let prefillBudget = this.prefillTokensPerStep;
    for (const sequence of [...this.running]) {
      const prefilled = Math.min(prefillBudget, sequence.prefillTokens);
      prefillBudget -= prefilled;
      sequence.prefillTokens -= prefilled;
      if (sequence.prefillTokens === 0) this.generateOne(sequence);
    }
  }

  private generateOne(sequence: BatchSequence): void {
    if (sequence.generateTokens > 0) {
      // eslint-disable-next-line no-param-reassign -- the batch owns the sequence's counts.
      sequence.generateTokens -= 1;
      sequence.generate();
    }
    if (sequence.generateTokens > 0) return;
    this.remove(sequence.attemptId);
    sequence.finish();
  }
}

/**
 * Faults of a runner stand-in that tests and the demo switch on.
 */
import { z } from 'zod';

/** What goes wrong; all fields of one object hold together. */
export const runnerFaultsSchema = z.strictObject({
  /** Milliseconds that the head of an answer is held back. */
  lateMilliseconds: z.number().nonnegative().default(0),
  /** Answers name another attempt: in the head, or only inside the stream. */
  crossed: z.enum(['no', 'head', 'stream']).default('no'),
  /** The connection is cut after this many chunks; missing means never. */
  cutAfterChunks: z.number().int().nonnegative().optional(),
  /** The stream ends in good order after this many chunks, but without its terminal event. */
  endAfterChunks: z.number().int().nonnegative().optional(),
  /** One chunk of each stream is left out. */
  skipChunk: z.number().int().positive().optional(),
  /** Milliseconds more for each step. */
  slowMilliseconds: z.number().nonnegative().default(0),
  /** Nothing is answered and nothing goes on. */
  frozen: z.boolean().default(false),
  /** `before_start`: refused and said so. `unclear`: the same status without saying so, after running. */
  refusing: z.enum(['no', 'before_start', 'unclear']).default('no'),
  /** The request runs, then the connection is cut in place of the answer. */
  lostAnswer: z.boolean().default(false),
  /** How many attempts are struck; missing means all. */
  attempts: z.number().int().positive().optional(),
});

/** See {@link runnerFaultsSchema}. */
export type RunnerFaults = z.output<typeof runnerFaultsSchema>;

/** The same with every field optional. */
export type RunnerFaultsInput = z.input<typeof runnerFaultsSchema>;

/** Faults that are switched on, and for how many attempts still. */
export class FaultSwitch {
  private faults = runnerFaultsSchema.parse({});

  private attemptsLeft = Number.POSITIVE_INFINITY;

  /**
   * Replaces all faults.
   *
   * @param input - the faults from now on; `{}` switches all off.
   * @throws ZodError when a field is unknown or of another type.
   */
  set(input: unknown): void {
    this.faults = runnerFaultsSchema.parse(input);
    this.attemptsLeft = this.faults.attempts ?? Number.POSITIVE_INFINITY;
  }

  /** @returns The faults that strike the attempt that has just come. */
  strike(): RunnerFaults {
    if (this.attemptsLeft <= 0) return runnerFaultsSchema.parse({});
    this.attemptsLeft -= 1;
    return this.faults;
  }

  /** @returns The faults that strike everything, attempts or not. */
  now(): RunnerFaults {
    return this.faults;
  }
}

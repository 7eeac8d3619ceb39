/**
 * Cost of sending a request to a runner in another data centre.
 */
import type { Runner } from '../runners/Runner.js';
import type { ChoiceQuestion } from '../runners/RunnerChoice.js';

/** The part of a question that the cost depends on. */
export type SpillQuestion = Pick<
  ChoiceQuestion,
  'service' | 'dataCentre' | 'bodyBytes' | 'work' | 'now' | 'targetAt' | 'arrivedAt'
>;

/** What a request has to read at a runner, and what it has to read in its own data centre. */
export interface SpillAlternatives {
  /** Whether a runner of its own data centre may get it. */
  readonly hasNear: boolean;
  /** Prompt tokens that the runner has to read; missing for a plain request. */
  readonly unreadTokens?: number | undefined;
  /** Fewest prompt tokens that a runner of its own data centre has to read; missing for a plain request. */
  readonly nearUnreadTokens?: number | undefined;
}

/** Decides what it costs to leave the data centre of the daemon that sends the request. */
export abstract class SpillCost {
  /**
   * @param runner - a runner that may get the request.
   * @param question - the request.
   * @returns Whether the runner is in the data centre of the daemon that sends the request.
   */
  abstract isNear(runner: Runner, question: SpillQuestion): boolean;

  /**
   * @param runner - a runner that may get the request.
   * @param question - the request.
   * @param alternatives - what it has to read there and nearby.
   * @returns Cost in ms; 0 within the data centre, and infinite if the other data centre has no room to spare.
   */
  abstract costMilliseconds(
    runner: Runner,
    question: SpillQuestion,
    alternatives: SpillAlternatives,
  ): number;

  /**
   * Notes where a request goes.
   *
   * @param runner - the chosen runner.
   * @param question - the request.
   * @param alternatives - what it has to read there and nearby.
   */
  abstract recordChosen(
    runner: Runner,
    question: SpillQuestion,
    alternatives: SpillAlternatives,
  ): void;
}

/** Options of a {@link FixedHopCost}. */
export interface FixedHopCostOptions {
  /** Data centre of this daemon. */
  dataCentre: string;
  /** Cost of leaving it, in ms. */
  hopMilliseconds?: number;
}

/** Round trip between data centres of one region, in ms. */
const HOP_MILLISECONDS = 10;

/** The same cost for each request. */
export class FixedHopCost extends SpillCost {
  private readonly dataCentre: string;

  private readonly hopMilliseconds: number;

  /**
   * @param options - the data centre and the cost.
   */
  constructor({ dataCentre, hopMilliseconds = HOP_MILLISECONDS }: FixedHopCostOptions) {
    super();
    this.dataCentre = dataCentre;
    this.hopMilliseconds = hopMilliseconds;
  }

  override isNear({ entry }: Runner, { dataCentre = this.dataCentre }: SpillQuestion): boolean {
    return entry.dataCentre === dataCentre;
  }

  override costMilliseconds(runner: Runner, question: SpillQuestion): number {
    return this.isNear(runner, question) ? 0 : this.hopMilliseconds;
  }

  override recordChosen(): void {
    // The cost does not depend on earlier requests.
  }
}

/**
 * Chats that open, return after pauses and end, at a steady rate, and one account that surges on a few chats.
 */
import type { SeededRandom } from './SeededRandom.js';

/** A chat and its length so far. */
export interface Chat {
  readonly id: string;
  readonly clientAccount: string;
  /** Tokens of all turns so far. */
  context: number;
  turns: number;
}

/** One turn of a chat. */
export interface Turn {
  readonly chat: Chat;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly maximumTokens: number;
  /** Whether the chat had an answer before, so that its prefix was cached somewhere. */
  readonly returning: boolean;
}

/** Options of a {@link Workload}. */
export interface WorkloadOptions {
  readonly random: SeededRandom;
  /** Requests a second without the surge. */
  readonly requestsPerSecond: number;
  /** Share of all requests that the surging account makes while it surges. */
  readonly surgeShare: number;
}

/** Six turns a chat on average. */
const RETURN_PROBABILITY = 5 / 6;
const PAUSE_MILLISECONDS = 15_000;
const OPENING_TOKENS = [300, 1_500] as const;
const MESSAGE_TOKENS = [20, 150] as const;
const ANSWER_TOKENS = [80, 660] as const;

/** Length of a chat at the start of the run. */
const EARLIER_TOKENS = [500, 4_000] as const;

/** Callers declare more than they get. */
const DECLARED_TOKENS = 700;
const SURGING_CHATS = 40;
const ACCOUNTS = 100;

/** Makes turns; knows nothing of runners. */
export class Workload {
  private readonly random: SeededRandom;

  private readonly openingsPerMillisecond: number;

  private readonly surgePerMillisecond: number;

  private readonly surging: readonly Chat[];

  private opened = 0;

  /**
   * @param options - rates.
   */
  constructor({ random, requestsPerSecond, surgeShare }: WorkloadOptions) {
    this.random = random;
    const perMillisecond = requestsPerSecond / 1_000;
    this.openingsPerMillisecond = perMillisecond * (1 - RETURN_PROBABILITY);
    this.surgePerMillisecond = (perMillisecond * surgeShare) / (1 - surgeShare);
    this.surging = Array.from({ length: SURGING_CHATS }, (_, index) => ({
      id: `surging-${index}`,
      clientAccount: 'surging',
      context: random.between(...OPENING_TOKENS),
      turns: 0,
    }));
  }

  /** @returns Milliseconds until the next chat opens. */
  nextOpening(): number {
    return this.random.exponential(1 / this.openingsPerMillisecond);
  }

  /** @returns Milliseconds until the surging account's next request. */
  nextSurge(): number {
    return this.random.exponential(1 / this.surgePerMillisecond);
  }

  /** @returns A new chat. */
  open(): Chat {
    this.opened += 1;
    return {
      id: `chat-${this.opened}`,
      clientAccount: `account-${this.random.index(ACCOUNTS)}`,
      context: 0,
      turns: 0,
    };
  }

  /**
   * Chats that pause when the run begins, so that it begins with its steady rate. What they said before is
   * cached nowhere, so their first turn does not count as a return.
   *
   * @returns Each with the time until its next turn, in ms.
   */
  pausing(): { readonly chat: Chat; readonly returnsAfter: number }[] {
    const returnsPerMillisecond =
      (this.openingsPerMillisecond * RETURN_PROBABILITY) / (1 - RETURN_PROBABILITY);
    const count = Math.round(returnsPerMillisecond * PAUSE_MILLISECONDS);
    return Array.from({ length: count }, () => {
      const chat = this.open();
      chat.context = this.random.between(...EARLIER_TOKENS);
      return { chat, returnsAfter: this.random.exponential(PAUSE_MILLISECONDS) };
    });
  }

  /** @returns One of the surging account's chats. */
  surgingChat(): Chat {
    return this.random.pick(this.surging);
  }

  /**
   * @param chat - whose turn it is.
   * @returns The turn; the chat's context grows only when it is answered.
   */
  turn(chat: Chat): Turn {
    const { random } = this;
    const message =
      chat.context === 0 ? random.between(...OPENING_TOKENS) : random.between(...MESSAGE_TOKENS);
    return {
      chat,
      promptTokens: Math.round(chat.context + message),
      answerTokens: Math.round(random.between(...ANSWER_TOKENS)),
      maximumTokens: DECLARED_TOKENS,
      returning: chat.turns > 0,
    };
  }

  /**
   * @param turn - has been answered.
   * @returns Milliseconds until the chat returns, or `undefined` when it does not.
   */
  answered({ chat, promptTokens, answerTokens }: Turn): number | undefined {
    const { clientAccount } = chat;
    this.grow(chat, promptTokens + answerTokens);
    if (clientAccount === 'surging' || this.random.next() >= RETURN_PROBABILITY) return undefined;
    return this.random.exponential(PAUSE_MILLISECONDS);
  }

  /** The surging account's chats do not grow: their many calls share an opening. */
  private grow(chat: Chat, context: number): void {
    const grown = chat;
    grown.turns += 1;
    if (chat.clientAccount !== 'surging') grown.context = context;
  }
}

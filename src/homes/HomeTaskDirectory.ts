/**
 * The directory of the chats whose home is this daemon: runs the decisions and returns their answers to
 * callers.
 */
import type { DecisionStep } from '../decisions/DecisionTask.js';
import { DecisionTask } from '../decisions/DecisionTask.js';
import type { Decisions } from '../decisions/Decisions.js';
import type { Clock } from '../time/Clock.js';
import type { HomeAction, HomeMessage, WarmRunnerEntry } from './homeTypes.js';

/** Options of a {@link HomeTaskDirectory}. */
export interface HomeTaskDirectoryOptions {
  decisions: Decisions<HomeMessage, HomeAction>;
  clock: Clock;
  record?: (step: DecisionStep<HomeMessage, HomeAction>) => void;
}

/** Answers lookups synchronously, because the decisions never wait. */
export class HomeTaskDirectory extends DecisionTask<HomeMessage, HomeAction> {
  private readonly answers = new Map<string, readonly WarmRunnerEntry[]>();

  private questions = 0;

  /**
   * @param options - the decisions, the clock and a recorder.
   */
  constructor(options: HomeTaskDirectoryOptions) {
    super({ ...options, tick: { kind: 'tick' } });
  }

  /**
   * Looks up a chat.
   *
   * @param service - the service that the chat uses.
   * @param chat - the chat's name.
   * @returns The runners with its prefix cached, those with the most cached tokens first.
   */
  findWarmRunners(service: string, chat: string): readonly WarmRunnerEntry[] {
    this.questions += 1;
    const question = String(this.questions);
    this.send({ kind: 'ask', question, service, chat });
    const warm = this.answers.get(question) ?? [];
    this.answers.delete(question);
    return warm;
  }

  protected override perform({ question, warm }: HomeAction): void {
    this.answers.set(question, warm);
  }
}

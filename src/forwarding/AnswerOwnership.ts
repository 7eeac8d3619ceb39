/**
 * Who may write to a caller: the answer belongs to one source at a time.
 */

/** Supplies an answer: an attempt at a runner, or a request that was handed over to another daemon. */
export interface AnswerSource {
  /** Id of the runner or name of the daemon, for the log. */
  readonly sourceName: string;
}

/** How a source supplies the answer: as events of a stream, or with a body that is passed on as it is. */
export type AnswerKind = 'streaming' | 'passing';

/**
 * State of the answer. `none`: nothing has been sent; `streaming` and `passing`: the owner's head has been sent;
 * `interrupted`: a stream whose owner has given it up after an event, so that another source may go on with it; `done`:
 * complete or aborted.
 */
export type AnswerState = 'none' | AnswerKind | 'interrupted' | 'done';

/** State and owner of one answer. */
export class AnswerOwnership {
  private current: AnswerState = 'none';

  private owner: AnswerSource | undefined;

  private readonly names: string[] = [];

  /** @returns State of the answer. */
  get state(): AnswerState {
    return this.current;
  }

  /** @returns Names of the sources whose bytes the caller has, in order; empty if there are none. */
  get ownerNames(): readonly string[] {
    return this.names;
  }

  /**
   * @param source - an attempt or a hand-over.
   * @returns Whether the answer belongs to it, so that it may write.
   */
  isOwnedBy(source: AnswerSource): boolean {
    return this.current !== 'done' && this.owner === source;
  }

  /**
   * Makes a source the owner: of an answer of which nothing has been sent, or of a stream that its owner has given up.
   *
   * @param source - an attempt or a hand-over.
   * @param kind - how it supplies the answer.
   * @returns Whether the answer belongs to it.
   */
  claim(source: AnswerSource, kind: AnswerKind): boolean {
    if (this.isOwnedBy(source)) return this.current === kind;
    const mayGoOn = this.current === 'interrupted' && kind === 'streaming';
    if (this.current !== 'none' && !mayGoOn) return false;
    this.current = kind;
    this.owner = source;
    this.names.push(source.sourceName);
    return true;
  }

  /**
   * Takes back the claim of a source whose head could not be sent, so that another answer is possible; nothing happens if
   * another one owns the answer.
   *
   * @param source - an attempt or a hand-over.
   */
  disclaim(source: AnswerSource): void {
    if (!this.isOwnedBy(source)) return;
    this.current = 'none';
    this.owner = undefined;
    this.names.pop();
  }

  /**
   * Gives a stream up, so that another source may go on with it; nothing happens if another one owns it.
   *
   * @param source - the source that broke off.
   */
  release(source: AnswerSource): void {
    if (this.current !== 'streaming' || this.owner !== source) return;
    this.current = 'interrupted';
    this.owner = undefined;
  }

  /** Ends the answer: nobody may write any more. */
  end(): void {
    this.current = 'done';
    this.owner = undefined;
  }
}

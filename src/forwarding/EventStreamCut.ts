/**
 * Holds back the tail of an event stream until its event is whole.
 *
 * What goes wrong without it: a runner stops in the middle of an event, the stream goes on at another runner
 * with the next whole event, and the caller reads the two halves as one. Bytes pass unchanged, since the
 * runner's signature covers them; only the places where events end are looked for.
 */

const EVENT_END = Buffer.from('\n\n');

const ID_FIELD = /^id: ?(.*)$/gmu;

/** Takes chunks of one runner's stream and gives whole events. */
export class EventStreamCut {
  private held: Buffer | undefined;

  private lastId: string | undefined;

  /** @returns Id of the last whole event, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** @returns Whether bytes of an unfinished event are held. */
  get holdsPart(): boolean {
    return this.held !== undefined && this.held.length > 0;
  }

  /**
   * @param chunk - bytes as they arrived.
   * @returns All whole events that are there now, or `undefined` when there is none.
   */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.holdsPart && this.held ? Buffer.concat([this.held, chunk]) : chunk;
    const lastEnd = bytes.lastIndexOf(EVENT_END);
    if (lastEnd === -1) {
      this.held = bytes;
      return undefined;
    }
    const end = lastEnd + EVENT_END.length;
    this.held = end < bytes.length ? bytes.subarray(end) : undefined;
    const whole = bytes.subarray(0, end);
    this.readLastId(whole);
    return whole;
  }

  /** @returns What is left at the end of a complete stream; it passes as it is. */
  rest(): Buffer | undefined {
    const { held } = this;
    this.held = undefined;
    return held;
  }

  /** Drops the unfinished event of a runner that broke off. */
  drop(): void {
    this.held = undefined;
  }

  private readLastId(events: Buffer): void {
    for (const [, id] of events.toString('latin1').matchAll(ID_FIELD)) {
      this.lastId = id?.replace(/\r$/u, '') ?? this.lastId;
    }
  }
}

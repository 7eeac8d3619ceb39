/**
 * Splits a runner's event stream at event boundaries, and holds back the last event until it is complete.
 *
 * Without it, a runner may fail in the middle of an event and another one resume the stream with the next complete
 * event; the caller would then read the fragment and the next event as one. Bytes are forwarded unchanged, since the
 * runner's signature covers them; only the ends of events are searched for.
 */

const EVENT_END = Buffer.from('\n\n');

const ID_FIELD = /^id: ?(.*)$/gmu;

/** Accepts chunks of a stream and returns complete events. */
export class EventStreamBuffer {
  private partialEvent: Buffer | undefined;

  private lastId: string | undefined;

  /** @returns Id of the last complete event, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** @returns Number of bytes of an incomplete event that are held back. */
  get partialBytes(): number {
    return this.partialEvent?.length ?? 0;
  }

  /**
   * @param chunk - bytes as they arrived.
   * @returns All events that are complete now, or `undefined` if there is none.
   */
  push(chunk: Buffer): Buffer | undefined {
    const bytes = this.partialEvent ? Buffer.concat([this.partialEvent, chunk]) : chunk;
    const lastEnd = bytes.lastIndexOf(EVENT_END);
    if (lastEnd === -1) {
      this.partialEvent = bytes;
      return undefined;
    }
    const end = lastEnd + EVENT_END.length;
    this.partialEvent = end < bytes.length ? bytes.subarray(end) : undefined;
    const whole = bytes.subarray(0, end);
    this.readLastId(whole);
    return whole;
  }

  /** @returns The bytes left at the end of a complete stream, which are forwarded as they are. */
  rest(): Buffer | undefined {
    const { partialEvent } = this;
    this.partialEvent = undefined;
    return partialEvent;
  }

  /** Drops the incomplete event of a runner whose stream broke off. */
  drop(): void {
    this.partialEvent = undefined;
  }

  private readLastId(events: Buffer): void {
    for (const [, id] of events.toString('latin1').matchAll(ID_FIELD)) {
      this.lastId = id?.replace(/\r$/u, '') ?? this.lastId;
    }
  }
}

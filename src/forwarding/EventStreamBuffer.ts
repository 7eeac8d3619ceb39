/**
 * Splits a runner's event stream at event boundaries, and holds back the last event until it is complete.
 *
 * Without it, a runner may fail in the middle of an event and another one resume the stream with the next complete
 * event; the caller would then read the fragment and the next event as one. Bytes are forwarded unchanged, since the
 * runner's signature covers them; only the ends of events are searched for.
 */

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

/** The byte order mark that may start a stream, as read in Latin-1. */
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';

const LINE_END = /\r\n|\r|\n/u;

const ID_LINE = /^id: ?(.*)$/u;

/** A comment, or a field that takes effect without an event. */
const LINE_OUTSIDE_EVENTS = /^(?::|retry:)/u;

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/**
 * Returns the position after the last blank line, which ends an event, or 0 if there is none. A line ends with a line
 * feed, a carriage return, or both.
 */
function endOfLastEvent(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    const isPair = bytes[index] === LINE_FEED && bytes[index - 1] === CARRIAGE_RETURN;
    const before = isPair ? index - 2 : index - 1;
    if (isLineEnd(bytes[index]) && isLineEnd(bytes[before])) return index + 1;
  }
  return 0;
}

function linesOf(bytes: Buffer): string[] {
  return bytes.toString('latin1').split(LINE_END);
}

/** Accepts chunks of a stream and returns complete events. */
export class EventStreamBuffer {
  private partialEvent: Buffer | undefined;

  private lastId: string | undefined;

  /** @returns Id of the last complete event, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** @returns Whether part of an event has arrived without its end; comments belong to no event. */
  get isInsideEvent(): boolean {
    if (!this.partialEvent) return false;
    return linesOf(this.partialEvent).some(
      (line) => line !== '' && !LINE_OUTSIDE_EVENTS.test(line),
    );
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
    const end = endOfLastEvent(bytes);
    if (end === 0) {
      this.partialEvent = bytes;
      return undefined;
    }
    this.partialEvent = end < bytes.length ? bytes.subarray(end) : undefined;
    const whole = bytes.subarray(0, end);
    this.readLastId(whole);
    return whole;
  }

  /** @returns The comments left at the end of a complete stream, which are forwarded as they are. */
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
    for (const line of linesOf(events)) {
      const [, id] = ID_LINE.exec(line.replace(BYTE_ORDER_MARK, '')) ?? [];
      this.lastId = id ?? this.lastId;
    }
  }
}

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

/** A field with which an event carries information. */
const INFORMATION_LINE = /^(?:id|data)(?::|$)/u;

/** Maximum length of a blank line and the line end before it that lie in earlier chunks, in bytes. */
const BLANK_LINE_BYTES = 2;

/** A comment, or a field that takes effect without an event. */
const LINE_OUTSIDE_EVENTS = /^(?::|retry:)/u;

/**
 * Counted for each chunk besides its bytes. Chunks of one byte took some 7 microseconds each, so an event that never ends
 * kept the process busy for up to 1.8 s before its bytes exceeded the limit.
 */
const CHUNK_COST_BYTES = 64;

const NOTHING = Buffer.alloc(0);

function joined(first: Buffer, second: Buffer): Buffer {
  return first.length === 0 ? second : Buffer.concat([first, second]);
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/**
 * Returns the position after the last blank line, which ends an event, or 0 if there is none from the given position on.
 * A line ends with a line feed, a carriage return, or both.
 */
function endOfLastEvent(bytes: Buffer, from: number): number {
  for (let index = bytes.length - 1; index > 0 && index >= from; index -= 1) {
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
  /** Room for the incomplete event; grows by doubling, so that many small chunks are not copied each time. */
  private partialEvent = NOTHING;

  private heldBytes = 0;

  private lastId: string | undefined;

  private hasInformation = false;

  /** Id of the last event, and whether there was one with information, before the last chunk. */
  private before: { readonly lastId: string | undefined; readonly hasInformation: boolean } = {
    lastId: undefined,
    hasInformation: false,
  };

  private unproductiveBytes = 0;

  /** @returns Id of the last complete event, or `undefined` before the first one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** @returns Whether part of an event has arrived without its end; comments belong to no event. */
  get isInsideEvent(): boolean {
    return linesOf(this.held).some((line) => line !== '' && !LINE_OUTSIDE_EVENTS.test(line));
  }

  /** @returns Whether a complete event with an id or data has arrived. */
  get hasEvents(): boolean {
    return this.hasInformation;
  }

  /** @returns Bytes since the last complete event with an id or data, and a cost in bytes for each of their chunks. */
  get bytesSinceEvent(): number {
    return this.unproductiveBytes;
  }

  /** @returns Number of bytes of an incomplete event that are held back. */
  get partialBytes(): number {
    return this.heldBytes;
  }

  /**
   * @param chunk - bytes as they arrived.
   * @returns All events that are complete now, or `undefined` if there is none.
   */
  push(chunk: Buffer): Buffer | undefined {
    const { held, lastId, hasInformation } = this;
    this.before = { lastId, hasInformation };
    this.unproductiveBytes += chunk.length + CHUNK_COST_BYTES;
    const tail = held.subarray(-BLANK_LINE_BYTES);
    const end = endOfLastEvent(joined(tail, chunk), tail.length) - tail.length;
    if (end <= 0) {
      this.hold(chunk);
      return undefined;
    }
    const whole = joined(held, chunk.subarray(0, end));
    this.clear();
    this.hold(chunk.subarray(end));
    this.readEvents(whole);
    return whole;
  }

  /** @returns The comments left at the end of a complete stream, which are forwarded as they are. */
  rest(): Buffer | undefined {
    const { held } = this;
    this.clear();
    return held.length > 0 ? held : undefined;
  }

  /** Takes the events of the last chunk for not received, since the caller does not get them. */
  rejectLast(): void {
    this.lastId = this.before.lastId;
    this.hasInformation = this.before.hasInformation;
  }

  /** Drops the incomplete event of a runner whose stream broke off. */
  drop(): void {
    this.clear();
    this.unproductiveBytes = 0;
  }

  private get held(): Buffer {
    return this.partialEvent.subarray(0, this.heldBytes);
  }

  private clear(): void {
    this.partialEvent = NOTHING;
    this.heldBytes = 0;
  }

  private hold(bytes: Buffer): void {
    const needed = this.heldBytes + bytes.length;
    if (needed > this.partialEvent.length) {
      const larger = Buffer.alloc(Math.max(needed, 2 * this.partialEvent.length));
      this.held.copy(larger);
      this.partialEvent = larger;
    }
    bytes.copy(this.partialEvent, this.heldBytes);
    this.heldBytes = needed;
  }

  private readEvents(events: Buffer): void {
    let isInformative = false;
    for (const text of linesOf(events)) {
      const line = text.startsWith(BYTE_ORDER_MARK) ? text.slice(BYTE_ORDER_MARK.length) : text;
      const [, id] = ID_LINE.exec(line) ?? [];
      this.lastId = id ?? this.lastId;
      isInformative ||= INFORMATION_LINE.test(line);
    }
    if (isInformative) {
      this.hasInformation = true;
      this.unproductiveBytes = this.heldBytes;
    }
  }
}

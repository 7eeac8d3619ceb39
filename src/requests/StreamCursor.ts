/**
 * Position in a stream: distinguishes the next chunk from a repeated one and from one after a
 * gap.
 */

/** Relation of a chunk to the chunks that were accepted before it. */
export type SequenceOrder = 'next' | 'repeated' | 'gap';

/**
 * Tracks the last chunk that was passed on. Sequence numbers start at 1 and have no gaps; each
 * chunk is passed on once.
 */
export class StreamCursor {
  /** Sequence number of the last chunk that was accepted; 0 before the first. */
  private lastAccepted: number;

  /**
   * @param afterSequence - sequence number of the last chunk that the reader already has.
   */
  constructor(afterSequence = 0) {
    this.lastAccepted = afterSequence;
  }

  /** @returns The sequence number of the last chunk that was accepted. */
  position(): number {
    return this.lastAccepted;
  }

  /**
   * Compares a chunk with the position, and moves the position if the chunk is the next one.
   *
   * @param sequence - the chunk's sequence number.
   * @returns Whether the chunk is the next one, a repeat, or one after a gap.
   */
  accept(sequence: number): SequenceOrder {
    if (sequence <= this.lastAccepted) return 'repeated';
    if (sequence > this.lastAccepted + 1) return 'gap';
    this.lastAccepted = sequence;
    return 'next';
  }

  /**
   * Returns whether the stream is complete. Its `completed` event has to name the last chunk,
   * because a connection that is closed early without an error looks like the end of the stream.
   *
   * @param lastSequence - sequence number of the last chunk, from the `completed` event.
   * @returns Whether no chunk is missing.
   */
  isCompleteAt(lastSequence: number): boolean {
    return lastSequence === this.lastAccepted;
  }
}

/**
 * Collects bytes that arrive in chunks. A chunk is an object of its own, which costs some hundred bytes however small it
 * is; copied into one buffer, chunks cost their bytes alone.
 */

const NOTHING = Buffer.alloc(0);

/** Options of a {@link ByteBuffer}. */
export interface ByteBufferOptions {
  /** Maximum number of bytes. */
  maximumBytes: number;
}

/** A buffer that grows up to a limit, by doubling. */
export class ByteBuffer {
  private readonly maximumBytes: number;

  private room = NOTHING;

  private usedBytes = 0;

  /**
   * @param options - the limit.
   */
  constructor({ maximumBytes }: ByteBufferOptions) {
    this.maximumBytes = maximumBytes;
  }

  /** @returns Number of bytes that are held. */
  get length(): number {
    return this.usedBytes;
  }

  /** @returns Number of bytes that are allocated. */
  get capacity(): number {
    return this.room.length;
  }

  /** @returns The bytes that are held; not a copy. */
  get contents(): Buffer {
    return this.room.subarray(0, this.usedBytes);
  }

  /**
   * Copies bytes behind those that are held.
   *
   * @param chunk - bytes as they arrived.
   * @returns Whether they are held now; if not, they would exceed the limit, and nothing has changed.
   */
  append(chunk: Uint8Array): boolean {
    const needed = this.usedBytes + chunk.length;
    if (needed > this.maximumBytes) return false;
    if (needed > this.capacity) this.grow(needed);
    this.room.set(chunk, this.usedBytes);
    this.usedBytes = needed;
    return true;
  }

  /** @returns The bytes that were held; none are from now on. */
  take(): Buffer {
    const { contents } = this;
    this.room = NOTHING;
    this.usedBytes = 0;
    return contents;
  }

  private grow(needed: number): void {
    const doubled = Math.min(2 * this.capacity, this.maximumBytes);
    const larger = Buffer.allocUnsafe(Math.max(needed, doubled));
    this.contents.copy(larger);
    this.room = larger;
  }
}

/**
 * Collects a body in blocks. Large chunks are kept as they came, small ones are copied into blocks of one size: growing
 * one buffer by doubling leaves garbage of all sizes, which allocators do not return to the operating system.
 */

/** Chunks of this size or more are kept without a copy, in bytes. */
const KEPT_CHUNK_BYTES = 8_192;

/** Size of the first block for small chunks, in bytes; most bodies fit. */
const FIRST_BLOCK_BYTES = 1_024;

const BLOCK_BYTES = 16_384;

const NOTHING = Buffer.alloc(0);

/** The blocks of one body. */
export class BodyBlocks {
  private readonly full: Buffer[] = [];

  private block = NOTHING;

  private usedBytes = 0;

  private fullBytes = 0;

  private fullCapacity = 0;

  /** @returns Number of bytes that are held. */
  get length(): number {
    return this.fullBytes + this.usedBytes;
  }

  /** @returns Number of bytes that are allocated. */
  get capacity(): number {
    return this.fullCapacity + this.block.length;
  }

  /**
   * @param chunk - bytes as they arrived; not written to any more.
   */
  append(chunk: Buffer): void {
    if (chunk.length >= KEPT_CHUNK_BYTES) {
      this.closeBlock();
      this.keep(chunk, chunk.length);
      return;
    }
    let rest = chunk;
    while (rest.length > 0) {
      if (this.usedBytes === this.block.length) this.openBlock(rest.length);
      const copied = rest.copy(this.block, this.usedBytes);
      this.usedBytes += copied;
      rest = rest.subarray(copied);
    }
  }

  /** @returns All bytes in one buffer; none are held from now on. */
  take(): Buffer {
    this.closeBlock();
    const blocks = this.full.splice(0);
    this.fullBytes = 0;
    this.fullCapacity = 0;
    const [first = NOTHING] = blocks;
    return blocks.length > 1 ? Buffer.concat(blocks) : first;
  }

  private openBlock(bytes: number): void {
    this.closeBlock();
    const size = this.full.length === 0 ? Math.max(FIRST_BLOCK_BYTES, bytes) : BLOCK_BYTES;
    this.block = Buffer.allocUnsafeSlow(size);
  }

  private closeBlock(): void {
    if (this.usedBytes > 0) this.keep(this.block.subarray(0, this.usedBytes), this.block.length);
    this.block = NOTHING;
    this.usedBytes = 0;
  }

  private keep(bytes: Buffer, capacity: number): void {
    this.full.push(bytes);
    this.fullBytes += bytes.length;
    this.fullCapacity += capacity;
  }
}

/**
 * Limits the memory that the request bodies of all requests in progress occupy together.
 *
 * Without this limit, bodies that are each within their own limit could together fill the memory of a small
 * instance, and the daemon would be killed with every stream it carries. A request that exceeds the budget
 * is rejected with `overloaded`.
 */
export class BodyBudget {
  private readonly maximumBytes: number;

  private heldBytes = 0;

  /**
   * @param options - the limit for all bodies together, in bytes.
   */
  constructor({ maximumBytes }: { maximumBytes: number }) {
    this.maximumBytes = maximumBytes;
  }

  /** @returns The bytes that are reserved now. */
  get reservedBytes(): number {
    return this.heldBytes;
  }

  /**
   * Reserves memory for bytes that have arrived.
   *
   * @param bytes - the number of bytes.
   * @returns `true` when the bytes are reserved; `false`, without any reservation, when they exceed the budget.
   */
  reserve(bytes: number): boolean {
    if (this.heldBytes + bytes > this.maximumBytes) return false;
    this.heldBytes += bytes;
    return true;
  }

  /**
   * Releases reserved bytes.
   *
   * @param bytes - the number of bytes that are no longer in memory.
   */
  release(bytes: number): void {
    this.heldBytes -= bytes;
  }
}

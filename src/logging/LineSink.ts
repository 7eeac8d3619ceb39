/**
 * Destination of formatted log lines.
 */

/** Accepts complete lines and writes them without blocking. */
export abstract class LineSink {
  /**
   * Accepts one line; returns at once and never throws.
   *
   * @param line - the line without a newline.
   */
  abstract write(line: string): void;

  /**
   * Waits until all lines accepted so far are written or given up.
   */
  abstract flush(): Promise<void>;

  /**
   * Returns and resets the number of dropped lines.
   *
   * @returns Number of lines dropped since the last call.
   */
  abstract takeDroppedCount(): number;
}

/** Keeps lines in memory, for tests. */
export class MemoryLineSink extends LineSink {
  /** All lines, in the order in which they were written. */
  readonly lines: string[] = [];

  override write(line: string): void {
    this.lines.push(line);
  }

  override flush(): Promise<void> {
    return Promise.resolve();
  }

  override takeDroppedCount(): number {
    return 0;
  }
}

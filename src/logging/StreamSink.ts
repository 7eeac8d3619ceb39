/**
 * Writes log lines to a stream without ever blocking the daemon.
 *
 * When a log collector stops reading, lines would pile up in the daemon's memory until it is killed; one would notice that
 * its memory grows with its traffic. The sink therefore buffers a bounded amount, and drops and counts further lines. Lines
 * that arrive shortly after each other are written together, since each write is a system call.
 */
import type { Writable } from 'node:stream';

import { LineSink } from './LineSink.js';

/** Default limit on buffered characters; about 20,000 lines. */
const MAXIMUM_BUFFERED_CHARACTERS = 4 * 1024 * 1024;

/** Time for which lines are collected before a write, in ms; short enough to follow the log live. */
const WRITE_DELAY_MILLISECONDS = 20;

/** Longest time that a flush waits, in ms: a collector that does not read must not keep the process from ending. */
const FLUSH_TIMEOUT_MILLISECONDS = 2_000;

/** Options of a {@link StreamSink}. */
export interface StreamSinkOptions {
  /** Stream to write to; standard output by default. */
  stream?: Writable;
  /** Lines that would exceed this number of buffered characters are dropped. */
  maximumBufferedCharacters?: number;
}

/** Buffers lines and writes them to a stream at short intervals. */
export class StreamSink extends LineSink {
  private readonly stream: Writable;

  private readonly maximumBufferedCharacters: number;

  private lines: string[] = [];

  /** Number of characters in `lines`, with their newlines. */
  private bufferedCharacters = 0;

  private dropped = 0;

  private broken = false;

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - the stream, and the limit on buffered characters.
   */
  constructor({
    stream = process.stdout,
    maximumBufferedCharacters = MAXIMUM_BUFFERED_CHARACTERS,
  }: StreamSinkOptions = {}) {
    super();
    this.stream = stream;
    this.maximumBufferedCharacters = maximumBufferedCharacters;
    // A reader that has closed the stream does not come back, and there is no other place to report the error to.
    stream.on('error', () => {
      this.broken = true;
    });
    // The last lines tell why the process ended; at exit the timer that writes them no longer fires.
    process.once('exit', () => this.writeBuffered());
  }

  override write(line: string): void {
    const held = this.bufferedCharacters + this.stream.writableLength;
    if (this.broken || held + line.length >= this.maximumBufferedCharacters) {
      this.dropped += 1;
      return;
    }
    this.lines.push(line);
    this.bufferedCharacters += line.length + 1;
    this.timer ??= setTimeout(() => this.writeBuffered(), WRITE_DELAY_MILLISECONDS);
  }

  override flush(): Promise<void> {
    this.writeBuffered();
    if (this.broken || this.stream.writableLength === 0) return Promise.resolve();
    return new Promise((done) => {
      const timer = setTimeout(done, FLUSH_TIMEOUT_MILLISECONDS).unref();
      this.stream.write('', () => {
        clearTimeout(timer);
        done();
      });
    });
  }

  override takeDroppedCount(): number {
    const { dropped } = this;
    this.dropped = 0;
    return dropped;
  }

  private writeBuffered(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.lines.length === 0 || this.broken) return;
    const text = `${this.lines.join('\n')}\n`;
    this.lines = [];
    this.bufferedCharacters = 0;
    this.stream.write(text);
  }
}

/**
 * One attempt in an engine stand-in: its generated chunks, kept for a while, and the connections that read them.
 */
import type { ServerResponse } from 'node:http';

import {
  ATTEMPT_ID_HEADER,
  CACHED_TOKENS_HEADER,
  END_EVENT,
  ERROR_EVENT,
  EVENT_STREAM_TYPE,
  formatEventId,
} from '../../src/upstreams/runnerProtocol.js';
import type { RunnerFaults } from './runnerFaults.js';

/** Token counts of an attempt. */
export interface AttemptUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
}

/** How an attempt ended. */
export type EngineAttemptEnd = 'completed' | 'cancelled';

/** Options of an {@link EngineAttempt}. */
export interface EngineAttemptOptions {
  attemptId: string;
  model: string;
  promptTokens: number;
  cachedTokens: number;
}

/**
 * @param usage - token counts.
 * @returns The form that existing clients of model engines know.
 */
export function usageJson({ promptTokens, cachedTokens, generatedTokens }: AttemptUsage): object {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: generatedTokens,
    total_tokens: promptTokens + generatedTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

/** One connection that reads an attempt. */
class Reader {
  readonly response: ServerResponse;

  readonly faults: RunnerFaults;

  /** The last chunk that was written. */
  written: number;

  /** Chunks written on this connection. */
  count = 0;

  constructor(response: ServerResponse, afterSequence: number, faults: RunnerFaults) {
    this.response = response;
    this.faults = faults;
    this.written = afterSequence;
  }

  /** Counts the next chunk as written. */
  advance(): void {
    this.written += 1;
    this.count += 1;
  }
}

/** Keeps the generated chunks, so that a reader can resume. */
export class EngineAttempt {
  readonly attemptId: string;

  private readonly options: EngineAttemptOptions;

  private readonly texts: string[] = [];

  private readonly readers = new Set<Reader>();

  private ended: EngineAttemptEnd | undefined;

  private readonly endListeners: (() => void)[] = [];

  /**
   * @param options - what is known when it starts.
   */
  constructor(options: EngineAttemptOptions) {
    this.attemptId = options.attemptId;
    this.options = options;
  }

  /** @returns Whether it has ended, and how. */
  get end(): EngineAttemptEnd | undefined {
    return this.ended;
  }

  /** @returns How many connections read it. */
  get readerCount(): number {
    return this.readers.size;
  }

  /** @returns Token counts so far. */
  usage(): AttemptUsage {
    const { promptTokens, cachedTokens } = this.options;
    return { promptTokens, cachedTokens, generatedTokens: this.texts.length };
  }

  /** @returns The whole text so far. */
  text(): string {
    return this.texts.join('');
  }

  /**
   * @param text - the next token's text.
   */
  append(text: string): void {
    this.texts.push(text);
    this.pumpAll();
  }

  /**
   * @param end - how it ended; the first end counts.
   */
  finish(end: EngineAttemptEnd): void {
    if (this.ended) return;
    this.ended = end;
    this.pumpAll();
    for (const listener of this.endListeners.splice(0)) listener();
  }

  /**
   * @param listener - called at the end, at once when that has come.
   */
  onEnd(listener: () => void): void {
    if (this.ended) listener();
    else this.endListeners.push(listener);
  }

  /**
   * Streams to a connection.
   *
   * @param response - its head is not yet written.
   * @param afterSequence - the last chunk that the reader has.
   * @param faults - what strikes this connection.
   * @param onGone - called when the connection has ended, whoever ended it.
   */
  stream(
    response: ServerResponse,
    afterSequence: number,
    faults: RunnerFaults,
    onGone: () => void,
  ): void {
    const reader = new Reader(response, afterSequence, faults);
    response.writeHead(200, {
      'content-type': EVENT_STREAM_TYPE,
      'cache-control': 'no-store',
      ...this.headers(faults),
    });
    response.flushHeaders();
    this.readers.add(reader);
    response.on('drain', () => this.pump(reader));
    response.on('close', () => {
      this.readers.delete(reader);
      onGone();
    });
    this.pump(reader);
  }

  /**
   * @param faults - what strikes the answer.
   * @returns Headers that each answer of this attempt carries.
   */
  headers(faults: RunnerFaults): Record<string, string> {
    const attemptId = faults.crossed === 'head' ? `other-than-${this.attemptId}` : this.attemptId;
    return {
      [ATTEMPT_ID_HEADER]: attemptId,
      [CACHED_TOKENS_HEADER]: String(this.options.cachedTokens),
    };
  }

  private pumpAll(): void {
    for (const reader of this.readers) this.pump(reader);
  }

  private pump(reader: Reader): void {
    const { response, faults } = reader;
    while (reader.written < this.texts.length) {
      if (reader.count === faults.cutAfterChunks) {
        // Earlier data must be on the wire, or the cut would come earlier than requested.
        response.write(': cut\n\n', () => response.destroy());
        return;
      }
      if (reader.count === faults.endAfterChunks) {
        response.end();
        return;
      }
      // Resumed later from what the reader has; meanwhile a slow reader costs no memory here.
      if (response.writableNeedDrain) return;
      reader.advance();
      if (reader.written !== faults.skipChunk) response.write(this.chunkText(reader));
    }
    if (this.ended && !response.writableEnded) response.end(this.endText());
  }

  private chunkText({ written, faults }: Reader): string {
    const crossed = faults.crossed === 'stream' && written > 1;
    const attemptId = crossed ? `other-than-${this.attemptId}` : this.attemptId;
    const data = {
      id: this.attemptId,
      object: 'chat.completion.chunk',
      model: this.options.model,
      choices: [{ index: 0, delta: { content: this.texts[written - 1] }, finish_reason: null }],
    };
    const id = formatEventId({ attemptId, sequence: written });
    return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`;
  }

  private endText(): string {
    if (this.ended === 'cancelled') {
      const data = { attempt_id: this.attemptId, message: 'cancelled', resumable: false };
      return `event: ${ERROR_EVENT}\ndata: ${JSON.stringify(data)}\n\n`;
    }
    const data = {
      attempt_id: this.attemptId,
      last_sequence: this.texts.length,
      usage: usageJson(this.usage()),
    };
    return `event: ${END_EVENT}\ndata: ${JSON.stringify(data)}\n\n`;
  }
}

/**
 * Writes the answer to the caller, exactly once: a runner's own, or an error of the daemon.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { passingHeaders } from './forwardedHeaders.js';

/** An answer of the daemon's own; none of them carries a runner's signature. */
export interface OwnAnswer {
  readonly status: number;
  /** One word for the caller and the log. */
  readonly reason: string;
  /** When to come back; only with a status that says "not run". */
  readonly retryAfterSeconds?: number | undefined;
}

/** A runner's answer that is held until it is complete. */
export interface HeldAnswer {
  readonly answer: IncomingMessage;
  readonly chunks: Buffer[];
  bytes: number;
}

const NOTHING: ReadonlySet<string> = new Set();

const BAD_GATEWAY = 502;

/** Owns the caller's response. */
export class AnswerRelay {
  /** The status that the caller got, or 0 before. */
  status = 0;

  private readonly response: ServerResponse;

  private readonly closes: () => boolean;

  private done = false;

  /**
   * @param response - the caller's.
   * @param closes - whether the connection is to end with this answer.
   */
  constructor(response: ServerResponse, closes: () => boolean) {
    this.response = response;
    this.closes = closes;
  }

  /** @returns Whether the head of an answer is out, so that no other can be given. */
  get hasHead(): boolean {
    return this.status !== 0;
  }

  /** @returns Whether the caller has its answer, or will get no more of it. */
  get isDone(): boolean {
    return this.done;
  }

  /**
   * Answers with an error of the daemon's own, or cuts an answer that has begun: it must not look whole.
   *
   * @param own - status, reason and when to come back.
   */
  answerOwn(own: OwnAnswer): void {
    if (this.done) return;
    this.done = true;
    if (this.hasHead) {
      this.response.destroy();
      return;
    }
    const body = `{"error":"${own.reason}"}\n`;
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (own.retryAfterSeconds !== undefined) {
      headers.push('Retry-After', String(own.retryAfterSeconds));
    }
    this.writeHead(own.status, headers);
    this.response.end(body);
  }

  /**
   * Answers with a runner's complete answer.
   *
   * @param held - head and body.
   */
  answerHeld({ answer, chunks, bytes }: HeldAnswer): void {
    if (this.done) return;
    this.done = true;
    const headers = passingHeaders(answer.rawHeaders, NOTHING);
    const status = answer.statusCode ?? BAD_GATEWAY;
    if (answer.headers['content-length'] !== undefined || bytes > 0) {
      headers.push('Content-Length', String(bytes));
    }
    this.writeHead(status, headers);
    this.response.end(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, bytes));
  }

  /**
   * Begins an answer whose body passes as it comes.
   *
   * @param answer - the runner's head.
   */
  begin(answer: IncomingMessage): void {
    if (this.done || this.hasHead) return;
    this.writeHead(answer.statusCode ?? BAD_GATEWAY, passingHeaders(answer.rawHeaders, NOTHING));
  }

  /**
   * @param chunk - bytes of the body.
   * @returns Whether the caller keeps up with them.
   */
  pass(chunk: Buffer): boolean {
    return this.done || this.response.write(chunk);
  }

  /**
   * @param resume - called once the caller has read what waits.
   */
  onceDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  /** Ends an answer whose body has passed. */
  finish(): void {
    if (this.done) return;
    this.done = true;
    this.response.end();
  }

  private writeHead(status: number, headers: string[]): void {
    this.status = status;
    if (this.closes()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers as unknown as Record<string, string>);
  }
}

/**
 * Reads the body of a caller's request, limited in size, in time and by the budget of all bodies together.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';

import { HeldBody } from '../clients/HeldBody.js';
import type { BodyLimits } from '../clients/HeldBody.js';
import { UNLIMITED_MEMORY } from '../clients/MemoryBudget.js';
import type { MemoryReservation } from '../clients/MemoryBudget.js';
import type { BodyBudget } from './BodyBudget.js';
import { CallerError } from './CallerError.js';
import { CallerDisconnected } from './CallerDisconnected.js';

/** Options of a {@link RequestReader}. */
export interface RequestReaderOptions {
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether the caller sends its body only after `100 Continue`. */
  expectsContinue: boolean;
  /** Largest body, in bytes. */
  maximumBytes: number;
  /** Budget shared by the bodies of all requests. */
  budget: BodyBudget;
  /** Memory of the request, among that of all callers; without a limit by default. */
  memory?: MemoryReservation;
  /** Shares the event loop between all callers. */
  clients?: BodyLimits;
  /** Retry-After for a request rejected because of the budget, in milliseconds. */
  overloadRetryAfterMilliseconds: number;
  /** How long the rest of an unread body is read and discarded after an early answer, in milliseconds. */
  lingerMilliseconds: number;
}

/** Time limit for a body to arrive. */
export interface BodyTimeLimit {
  /** The limit in milliseconds. */
  readonly milliseconds: number;
  /** Creates the error for a body that takes longer. */
  readonly error: () => CallerError;
}

/** Reads or discards the body of one request. */
export class RequestReader {
  private readonly options: RequestReaderOptions;

  private readonly memory: MemoryReservation;

  private continueSent = false;

  private heldBytes = 0;

  private refuse: ((error: Error) => void) | undefined;

  private abandoned = false;

  /**
   * @param options - the request, its response and the limits.
   */
  constructor(options: RequestReaderOptions) {
    this.options = options;
    this.memory = options.memory ?? UNLIMITED_MEMORY.open();
  }

  /** @returns Whether bytes of the body may still arrive. */
  get bodyPending(): boolean {
    const { headers, complete } = this.options.request;
    if (complete) return false;
    if (headers['transfer-encoding'] !== undefined) return true;
    return Number(headers['content-length'] ?? 0) > 0;
  }

  /**
   * Reads the complete body.
   *
   * @param time - the time limit.
   * @returns The body; it counts against the budget until {@link RequestReader.releaseBudget}.
   * @throws {@link CallerError} when a limit is exceeded, {@link CallerDisconnected} when the connection ended.
   */
  async read(time: BodyTimeLimit): Promise<Buffer> {
    const { request, maximumBytes } = this.options;
    if (Number(request.headers['content-length'] ?? 0) > maximumBytes) throw this.tooLargeError();
    if (!this.bodyPending && request.readableEnded) return Buffer.alloc(0);
    if (request.destroyed) throw new CallerDisconnected();
    this.sendContinue();
    try {
      return await this.collect(time);
    } finally {
      this.refuse = undefined;
    }
  }

  /**
   * Stops reading a body because the rest of it is malformed.
   *
   * @param error - the error that the pending read throws.
   * @returns Whether the error belongs to this body; `false` when no body was being read.
   */
  failRead(error: CallerError): boolean {
    if (this.abandoned) return true;
    // A body that arrived completely may still be unread; the malformed input then came after it.
    if (!this.refuse || this.options.request.complete) return false;
    this.abandoned = true;
    this.refuse(error);
    return true;
  }

  /**
   * Reads and discards the rest of a body for a limited time. Closing a connection with unread bytes resets it,
   * and the reset can overtake the answer: the caller would see a connection reset instead of the error.
   */
  async discardBody(): Promise<void> {
    const { request, expectsContinue, lingerMilliseconds } = this.options;
    if (!this.bodyPending || request.destroyed) return;
    // The caller is waiting for `100 Continue` and has not sent a body, so there is nothing to discard.
    if (expectsContinue && !this.continueSent) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, lingerMilliseconds);
      const onEnd = (): void => {
        clearTimeout(timer);
        resolve();
      };
      request.once('end', onEnd);
      request.once('close', onEnd);
      request.resume();
    });
  }

  /** Releases the bytes of the body in the budget. */
  releaseBudget(): void {
    this.options.budget.release(this.heldBytes);
    this.heldBytes = 0;
  }

  private sendContinue(): void {
    if (!this.options.expectsContinue) return;
    this.continueSent = true;
    this.options.response.writeContinue();
  }

  private collect({ milliseconds, error }: BodyTimeLimit): Promise<Buffer> {
    const { request, maximumBytes, clients } = this.options;
    const { memory } = this;
    return new Promise((resolve, reject) => {
      const body = new HeldBody({ socket: request.socket, memory, clients });
      let cleanUp = (): void => {};
      const refuse = (reason: Error): void => {
        request.pause();
        cleanUp();
        reject(reason);
      };
      const onData = (part: Buffer): void => {
        if (body.length + part.byteLength > maximumBytes) {
          refuse(this.tooLargeError());
          return;
        }
        if (this.reserve(part.byteLength) && body.append(part)) return;
        clients?.report('no_memory');
        refuse(this.budgetExceededError());
      };
      const onEnd = (): void => {
        cleanUp();
        resolve(body.take());
      };
      const onClose = (): void => refuse(new CallerDisconnected());
      const timer = setTimeout(() => refuse(error()), milliseconds);
      memory.makeEvictable(() => {
        clients?.report('memory');
        refuse(this.budgetExceededError());
      });
      cleanUp = () => {
        clearTimeout(timer);
        memory.pin();
        request.off('data', onData);
        request.off('end', onEnd);
        request.off('close', onClose);
      };
      this.refuse = refuse;
      request.on('data', onData);
      request.on('end', onEnd);
      request.on('close', onClose);
    });
  }

  /** Reserves the bytes of a part in the limit for bodies. */
  private reserve(bytes: number): boolean {
    if (!this.options.budget.reserve(bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  private tooLargeError(): CallerError {
    return new CallerError({
      code: 'request_too_large',
      message: `the body is larger than ${this.options.maximumBytes} bytes`,
    });
  }

  private budgetExceededError(): CallerError {
    return new CallerError({
      code: 'overloaded',
      message: 'too many bodies are held at once',
      retryAfterMilliseconds: this.options.overloadRetryAfterMilliseconds,
    });
  }
}

/**
 * Reads the body of a runner's answer at the consumer's pace, with limits on time and size, and distinguishes a cut
 * body from a complete one.
 */
import type { IncomingMessage } from 'node:http';

import VError from 'verror';

import { MAXIMUM_TIMER_MILLISECONDS } from './StopSignal.js';
import type { StopSignal, StopReason } from './StopSignal.js';

/** Why a body could not be read whole. */
export type BodyFault = StopReason | 'cut' | 'idle' | 'too_large';

/** Thrown if a body could not be read whole. */
export class BodyError extends VError {
  readonly fault: BodyFault;

  /**
   * @param fault - why the body could not be read whole.
   * @param message - description of the fault.
   */
  constructor(fault: BodyFault, message: string) {
    super(message);
    this.fault = fault;
  }
}

/** Limits of a body. */
export interface BodyLimits {
  /** Maximum time that the consumer waits for the next byte, in milliseconds. */
  readonly idleMilliseconds: number;
  readonly maximumBytes: number;
}

/**
 * Detects that a runner sends nothing. Only the time during which the consumer waits counts, so that a slow consumer is
 * not mistaken for an unresponsive runner.
 */
class IdleTimer {
  private readonly timer: NodeJS.Timeout;

  private waiting = false;

  constructor(onIdle: () => void, idleMilliseconds: number) {
    this.timer = setTimeout(
      () => {
        if (this.waiting) onIdle();
      },
      Math.min(idleMilliseconds, MAXIMUM_TIMER_MILLISECONDS),
    );
  }

  /** Restarts the timer for the next part; one timer is reused because a stream has thousands of parts. */
  startWaiting(): void {
    this.waiting = true;
    this.timer.refresh();
  }

  stopWaiting(): void {
    this.waiting = false;
  }

  dispose(): void {
    clearTimeout(this.timer);
  }
}

async function nextPart(
  iterator: AsyncIterator<Uint8Array>,
  idleTimer: IdleTimer,
): Promise<IteratorResult<Uint8Array>> {
  idleTimer.startWaiting();
  try {
    return await iterator.next();
  } catch (error) {
    if (error instanceof BodyError) throw error;
    throw new BodyError('cut', error instanceof Error ? error.message : String(error));
  } finally {
    idleTimer.stopWaiting();
  }
}

/**
 * Reads a body part by part. Nothing is read ahead beyond the small buffer of the stream, so that a slow consumer slows
 * down the runner and does not fill this daemon's memory. Ending the iteration early closes the connection.
 *
 * @param response - the answer, whose body has not been read yet.
 * @param limits - the limits on time and size.
 * @param stopSignal - signal that stops reading.
 * @returns The parts in order.
 * @throws {@link BodyError} if the body could not be read whole.
 */
export async function* readParts(
  response: IncomingMessage,
  { idleMilliseconds, maximumBytes }: BodyLimits,
  stopSignal: StopSignal,
): AsyncGenerator<Uint8Array, void, undefined> {
  const stop = (reason: StopReason): void => {
    response.destroy(new BodyError(reason, `${reason} while reading the answer`));
  };
  const removeListener = stopSignal.onStop(stop);
  const stopReason = stopSignal.reason();
  if (stopReason) stop(stopReason);
  const idleTimer = new IdleTimer(
    () => response.destroy(new BodyError('idle', `no byte for ${idleMilliseconds} ms`)),
    idleMilliseconds,
  );
  const iterator = response[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
  let bytes = 0;
  try {
    for (;;) {
      const part = await nextPart(iterator, idleTimer);
      if (part.done) break;
      bytes += part.value.byteLength;
      if (bytes > maximumBytes) throw new BodyError('too_large', `more than ${maximumBytes} bytes`);
      yield part.value;
    }
    if (!response.complete) throw new BodyError('cut', 'the connection ended before the answer');
  } finally {
    idleTimer.dispose();
    removeListener();
    if (!response.readableEnded) response.destroy();
  }
}

/**
 * Reads a whole body into memory.
 *
 * @param response - the answer, whose body has not been read yet.
 * @param limits - the limits on time and size.
 * @param stopSignal - signal that stops reading.
 * @returns All bytes of the body.
 * @throws {@link BodyError} if the body could not be read whole.
 */
export async function readWhole(
  response: IncomingMessage,
  limits: BodyLimits,
  stopSignal: StopSignal,
): Promise<Buffer> {
  const parts: Uint8Array[] = [];
  for await (const part of readParts(response, limits, stopSignal)) parts.push(part);
  return Buffer.concat(parts);
}

/**
 * Checks whether the length of a body is given by a header or by chunked encoding. Otherwise the body ends with the
 * connection, so that a cut cannot be distinguished from the end and half an answer would count as a whole one.
 *
 * @param response - the answer, whose body has not been read yet.
 * @returns Whether a cut of the body would be detected.
 */
export function isLengthKnown(response: IncomingMessage): boolean {
  const { headers, statusCode = 0 } = response;
  if (statusCode === 204 || statusCode === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

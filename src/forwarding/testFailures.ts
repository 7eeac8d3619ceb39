/**
 * Test helper: failures of a runner, of any length and framing, as the bytes on its connection.
 */
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

/** How the end of a failure is recognized; `endless`: it has none. */
export type FailureFraming = 'length' | 'chunked' | 'until_close' | 'endless';

/** All framings. */
export const FAILURE_FRAMINGS: readonly FailureFraming[] = [
  'length',
  'chunked',
  'until_close',
  'endless',
];

/** Lengths of failures in bytes: the least, both sides of what is buffered of an answer, and more. */
export const FAILURE_BYTES: readonly number[] = [1, 262_144, 262_145, 400_000];

/** The byte that failures are made of; no stream of a test has it. */
export const FAILURE_BYTE = '#';

const PIECE_BYTES = 65_536;

/** What is sent at most of a failure without end, in bytes; more than the socket buffers of both ends hold. */
const MAXIMUM_SENT_BYTES = 24_000_000;

/** How long an endless failure waits for the daemon after its last byte, in ms. */
const WAIT_MILLISECONDS = 2_000;

const SIZE_BASE = 16;

function chunksOf(bytes: number): string {
  return `${bytes.toString(SIZE_BASE)}\r\n${FAILURE_BYTE.repeat(bytes)}\r\n0\r\n\r\n`;
}

/**
 * Sends a failure.
 *
 * @param socket - connection of the runner.
 * @param head - status line and headers, without those of the framing and the blank line.
 * @param bytes - length of the body, or what an endless one begins with.
 * @param framing - how its end is recognized.
 * @returns Whether the daemon closed the connection of an endless failure; `true` for others, once they are written.
 */
export async function sendFailure(
  socket: Socket,
  head: string,
  bytes: number,
  framing: FailureFraming,
): Promise<boolean> {
  const body = FAILURE_BYTE.repeat(bytes);
  if (framing === 'length') socket.write(`${head}Content-Length: ${bytes}\r\n\r\n${body}`);
  if (framing === 'chunked')
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${chunksOf(bytes)}`);
  if (framing === 'until_close') socket.end(`${head}\r\n${body}`);
  if (framing !== 'endless') return true;
  socket.write(`${head}\r\n${body}`);
  const piece = FAILURE_BYTE.repeat(PIECE_BYTES);
  let sent = 0;
  let endAt = performance.now() + WAIT_MILLISECONDS;
  while (!socket.destroyed && performance.now() < endAt) {
    if (sent < MAXIMUM_SENT_BYTES && socket.writableLength < PIECE_BYTES) {
      sent += piece.length;
      socket.write(piece);
      endAt = performance.now() + WAIT_MILLISECONDS;
    }
    await nextTurn();
  }
  return socket.destroyed;
}

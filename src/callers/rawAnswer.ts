/**
 * Writes error answers directly to a socket when Node.js could not parse the input as a request.
 */
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';

import { CallerError, errorDocument, retryHeaders } from './CallerError.js';

/** Error that Node.js reports for input that it cannot parse. */
interface ParserError extends Error {
  readonly code?: string;
}

const HEADERS_TOO_LARGE = 431;
const REQUEST_TIMEOUT = 408;

/**
 * Converts a parser error into an error for the caller.
 *
 * @param parserError - the error that Node.js reported.
 * @returns The error to send to the caller.
 */
export function malformedError({ code = '' }: ParserError): CallerError {
  if (code === 'HPE_HEADER_OVERFLOW') {
    return new CallerError({
      code: 'request_too_large',
      status: HEADERS_TOO_LARGE,
      message: 'the request line and the headers are too large',
    });
  }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return new CallerError({
      code: 'invalid_request',
      status: REQUEST_TIMEOUT,
      message: 'the request did not arrive in time',
    });
  }
  return new CallerError({
    code: 'invalid_request',
    message: `this is not a well-formed HTTP request (${code || 'unknown'})`,
  });
}

/**
 * Writes an error answer and ends the connection. Further input is discarded for a limited time, because closing a
 * connection with unread bytes resets it, and the reset can overtake the answer.
 *
 * @param socket - the connection of the caller.
 * @param error - the error to send.
 * @param options - the request id to send, and how long to discard input before the socket is destroyed, in
 *   milliseconds.
 */
export function writeRawAnswer(
  socket: Duplex,
  error: CallerError,
  { requestId, lingerMilliseconds }: { requestId: string; lingerMilliseconds: number },
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify(errorDocument(error, requestId, true));
  const headers = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    'x-request-id': requestId,
    connection: 'close',
    ...retryHeaders(error),
    ...error.options.headers,
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const statusLine = `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status] ?? 'Error'}\r\n`;
  const timer = setTimeout(() => socket.destroy(), lingerMilliseconds);
  socket.once('close', () => clearTimeout(timer));
  socket.on('error', () => socket.destroy());
  socket.end(`${statusLine}${lines.join('')}\r\n${body}`);
  socket.resume();
}

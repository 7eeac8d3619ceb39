/**
 * What clients send that keep to no limit.
 */
import type { ClientBytes } from './ClientCrowd.js';

const MEBIBYTE = 1_048_576;

/** Bytes after which a client gives up sending a body without end. */
const ENDLESS_BYTES = 64 * MEBIBYTE;

const BLOCK = Buffer.alloc(65_536, 'abcdefgh');

/** Bytes of the last part of a body that is sent in small chunks. */
const SMALL_CHUNKS_BYTES = 65_536;

const CHUNK_OF_ONE_BYTE = '1\r\nx\r\n';

/** The first lines of a client's requests, without the empty line that ends a head. */
export type HeadLines = (method: string, path: string) => string;

function* blocks(bytes: number): ClientBytes {
  let left = bytes;
  for (; left > BLOCK.length; left -= BLOCK.length) yield BLOCK;
  yield BLOCK.subarray(0, left);
}

function* chunks(bytes: number): ClientBytes {
  let left = bytes;
  while (left > 0) {
    const size = Math.min(left, BLOCK.length);
    yield `${size.toString(16)}\r\n`;
    yield BLOCK.subarray(0, size);
    yield '\r\n';
    left -= size;
  }
}

/**
 * @param head - the first lines of the request.
 * @param path - its path.
 * @returns A body that is announced to be far too large, and is sent for long.
 */
export function* announcedBody(head: HeadLines, path: string): ClientBytes {
  yield `${head('POST', path)}Content-Length: 10000000000\r\n\r\n`;
  yield* blocks(ENDLESS_BYTES);
}

/**
 * @param head - the first lines of the request.
 * @param path - its path.
 * @returns A body in chunks that is sent for long.
 */
export function* endlessChunks(head: HeadLines, path: string): ClientBytes {
  yield `${head('POST', path)}Transfer-Encoding: chunked\r\n\r\n`;
  yield* chunks(ENDLESS_BYTES);
}

/**
 * @param head - the first lines of the request.
 * @param path - its path.
 * @param bytes - bytes of the body that are sent; its end is not.
 * @returns A body in large chunks that stays without its end.
 */
export function* bodyWithoutEnd(head: HeadLines, path: string, bytes: number): ClientBytes {
  yield `${head('POST', path)}Transfer-Encoding: chunked\r\n\r\n`;
  yield* chunks(bytes);
}

/**
 * @param head - the first lines of the request.
 * @param path - its path.
 * @param bytes - bytes of the body that are sent, the last ones in chunks of one byte; its end is not.
 * @returns A body that stays without its end.
 */
export function* smallChunksWithoutEnd(head: HeadLines, path: string, bytes: number): ClientBytes {
  yield* bodyWithoutEnd(head, path, bytes - SMALL_CHUNKS_BYTES);
  yield CHUNK_OF_ONE_BYTE.repeat(SMALL_CHUNKS_BYTES);
}

/**
 * @param head - the first lines of the request.
 * @param path - its path.
 * @param bytes - bytes of headers.
 * @returns A head that stays without its end.
 */
export function* headWithoutEnd(head: HeadLines, path: string, bytes: number): ClientBytes {
  yield head('GET', path);
  for (let sent = 0; sent < bytes; sent += 1_024) yield `x-${sent}: ${'y'.repeat(1_000)}\r\n`;
}

/**
 * @param head - the first lines of a request.
 * @param path - its path.
 * @param requests - number of requests.
 * @returns Requests that are sent without waiting for an answer.
 */
export function* pipelinedRequests(head: HeadLines, path: string, requests: number): ClientBytes {
  for (let sent = 0; sent < requests; sent += 100) {
    yield `${head('GET', path)}\r\n`.repeat(Math.min(100, requests - sent));
  }
}

/**
 * @returns Nothing: the connection stays silent.
 */
export function* silence(): ClientBytes {
  yield '';
}

/**
 * Gzip compression for the calls between daemons that handles small messages synchronously.
 *
 * The library's gzip creates a stream and uses the thread pool for each message. For a gossip message of one or two
 * kilobytes this overhead is several times the cost of the compression itself, and it arises four times a call; it
 * would be a large part of the processor time of an idle daemon.
 */
import { gunzipSync, gzipSync } from 'node:zlib';

import { Code, ConnectError } from '@connectrpc/connect';
import type { Compression } from '@connectrpc/connect/protocol';
import { compressionGzip } from '@connectrpc/connect-node';

/**
 * Maximum size of a message that is handled synchronously. Larger ones, such as whole configurations, would block the
 * event loop, so the library handles them.
 */
const MAXIMUM_SYNCHRONOUS_BYTES = 16 * 1024;

/**
 * Maximum size of the result of a synchronous decompression, so that a small message that unpacks to a large one does
 * not block the event loop. Above the limit, the library decompresses the message again from its start.
 */
const MAXIMUM_SYNCHRONOUS_UNPACKED_BYTES = 128 * 1024;

function isTooLarge(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'ERR_BUFFER_TOO_LARGE';
}

/** Compression in the same format as the library's gzip. */
export const gzipCompression: Compression = {
  name: compressionGzip.name,

  async compress(bytes) {
    if (bytes.length > MAXIMUM_SYNCHRONOUS_BYTES) return compressionGzip.compress(bytes);
    return new Uint8Array(gzipSync(bytes));
  },

  async decompress(bytes, readMaxBytes) {
    if (bytes.length === 0 || bytes.length > MAXIMUM_SYNCHRONOUS_BYTES) {
      return compressionGzip.decompress(bytes, readMaxBytes);
    }
    const maxOutputLength = Math.min(readMaxBytes, MAXIMUM_SYNCHRONOUS_UNPACKED_BYTES);
    try {
      return new Uint8Array(gunzipSync(bytes, { maxOutputLength }));
    } catch (error) {
      if (isTooLarge(error)) return compressionGzip.decompress(bytes, readMaxBytes);
      throw new ConnectError(
        'decompression failed',
        Code.InvalidArgument,
        undefined,
        undefined,
        error,
      );
    }
  },
};

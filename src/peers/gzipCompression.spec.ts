import { describe, it } from 'node:test';
import { gzipSync } from 'node:zlib';

import { Code, ConnectError } from '@connectrpc/connect';
import { compressionGzip } from '@connectrpc/connect-node';
import { expect } from 'earl';
import fc from 'fast-check';

import { gzipCompression } from './gzipCompression.js';

const MEGABYTE = 1024 * 1024;

const PAIRS = [
  { name: 'itself', compress: gzipCompression, decompress: gzipCompression },
  { name: 'what the library reads', compress: gzipCompression, decompress: compressionGzip },
  { name: 'what the library wrote', compress: compressionGzip, decompress: gzipCompression },
];

const FAULTS = [
  { name: 'a cut message', bytes: gzipSync('x'.repeat(500)).subarray(0, 20) },
  { name: 'no gzip at all', bytes: Buffer.from('not compressed') },
];

async function codeOf(work: Promise<unknown>): Promise<Code | undefined> {
  try {
    await work;
    return undefined;
  } catch (error) {
    return ConnectError.from(error).code;
  }
}

describe('gzipCompression', () => {
  for (const { name, compress, decompress } of PAIRS) {
    it(`gives back the same bytes with ${name}, small and large`, async () => {
      const size = fc.oneof(fc.nat(300), fc.integer({ min: 16_000, max: 400_000 }));
      await fc.assert(
        fc.asyncProperty(size, fc.nat(255), async (length, seed) => {
          const bytes = Uint8Array.from({ length }, (_, index) => (index * seed) % 251);
          const packed = await compress.compress(bytes);
          const given = await decompress.decompress(packed, MEGABYTE);
          expect(Buffer.compare(given, bytes)).toEqual(0);
        }),
        { seed: 1, numRuns: 30 },
      );
    });
  }

  for (const { name, bytes } of FAULTS) {
    it(`refuses ${name}`, async () => {
      expect(await codeOf(gzipCompression.decompress(bytes, MEGABYTE))).toEqual(
        Code.InvalidArgument,
      );
    });
  }

  it('unpacks no more than the limit', async () => {
    // Guards against a daemon that runs out of memory because a message of a few kilobytes unpacks to gigabytes: the
    // unpacked size has to be limited as well.
    const bomb = gzipSync(Buffer.alloc(4 * MEGABYTE));
    const unpacked = gzipCompression.decompress(bomb, MEGABYTE);
    expect(await codeOf(unpacked)).toEqual(Code.ResourceExhausted);
  });
});

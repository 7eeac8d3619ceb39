import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ByteBuffer } from './ByteBuffer.js';
import { chunksOfOneByte } from './testMemory.js';

const LIMIT = 262_144;

/** Allocations for the limit in chunks of one byte: one for each power of two. */
const ALLOCATIONS = 19;

describe('ByteBuffer', () => {
  // Guards against small chunks that cost more memory than their bytes, or a copy of all earlier ones each.
  it('allocates no more than its limit, and seldom, for chunks of one byte', () => {
    const buffer = new ByteBuffer({ maximumBytes: LIMIT });
    const capacities = new Set<number>();
    for (const chunk of chunksOfOneByte(LIMIT)) {
      buffer.append(chunk);
      capacities.add(buffer.capacity);
    }
    expect(buffer.length).toEqual(LIMIT);
    expect(Math.max(...capacities)).toEqual(LIMIT);
    expect(capacities.size).toEqual(ALLOCATIONS);
  });

  // Guards against an allocation beyond the limit where it is no power of two.
  it('allocates no more than its limit of any size', () => {
    const buffer = new ByteBuffer({ maximumBytes: 1_000 });
    expect(buffer.append(Buffer.alloc(600))).toEqual(true);
    expect(buffer.capacity).toEqual(600);
    expect(buffer.append(Buffer.alloc(1))).toEqual(true);
    expect(buffer.capacity).toEqual(1_000);
  });

  // Guards against bytes that are lost, repeated or mixed up while the buffer grows.
  it('holds the bytes in order', () => {
    const buffer = new ByteBuffer({ maximumBytes: 100 });
    const chunks = ['a', '', 'bcd', 'efghijklm', 'n', 'opqrstuvwxyz'];
    for (const chunk of chunks) buffer.append(Buffer.from(chunk));
    expect(buffer.contents.toString()).toEqual('abcdefghijklmnopqrstuvwxyz');
    expect(buffer.length).toEqual(26);
  });

  // Guards against a part of a chunk that is held although the chunk as a whole is too large.
  it('leaves its bytes as they are when a chunk would exceed the limit', () => {
    const buffer = new ByteBuffer({ maximumBytes: 4 });
    buffer.append(Buffer.from('abc'));
    expect(buffer.append(Buffer.from('de'))).toEqual(false);
    expect(buffer.contents.toString()).toEqual('abc');
    expect(buffer.append(Buffer.from('d'))).toEqual(true);
    expect(buffer.contents.toString()).toEqual('abcd');
  });

  // Guards against bytes that change after they were handed out, since later ones are written to the same place.
  it('hands its bytes out for good', () => {
    const buffer = new ByteBuffer({ maximumBytes: 100 });
    buffer.append(Buffer.from('abc'));
    const taken = buffer.take();
    expect(buffer.length).toEqual(0);
    buffer.append(Buffer.from('xyz'));
    expect(taken.toString()).toEqual('abc');
    expect(buffer.contents.toString()).toEqual('xyz');
  });
});

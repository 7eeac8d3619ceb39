/**
 * Test helper: measures what the process holds in memory.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');

const collectGarbage = runInNewContext('gc') as () => void;

/**
 * @returns Bytes of the heap and of buffers outside it, after garbage has been collected.
 */
export async function heldMemory(): Promise<number> {
  collectGarbage();
  await nextTurn();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * @param bytes - number of bytes.
 * @returns As many chunks of one byte each, which share memory as those of one read from a socket do.
 */
export function* chunksOfOneByte(bytes: number): Generator<Buffer> {
  const read = Buffer.alloc(1_024, 'abcdefg');
  for (let index = 0; index < bytes; index += 1) {
    const start = index % read.length;
    yield read.subarray(start, start + 1);
  }
}

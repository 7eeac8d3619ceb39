import type { IncomingMessage, ServerResponse } from 'node:http';
import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { AnswerRelay } from './AnswerRelay.js';
import { BufferedAnswers } from './BufferedAnswers.js';
import { chunksOfOneByte, heldMemory } from '../http/testMemory.js';

/** Largest answer that is held, in bytes. */
const MAXIMUM_HELD_BYTES = 262_144;

const ATTEMPTS = ['runner-1', 'runner-2', 'runner-3', 'runner-4'].map((sourceName) => ({
  sourceName,
}));

/** Memory that the answers of all attempts may take, in bytes: a small multiple of their size. */
const MAXIMUM_MEMORY_BYTES = 8_000_000;

const HEAD = { statusCode: 200, headers: {}, rawHeaders: [] } as unknown as IncomingMessage;

const [FIRST = { sourceName: '' }, SECOND = { sourceName: '' }] = ATTEMPTS;

function takeAll(answers: BufferedAnswers, attempt: (typeof ATTEMPTS)[number], bytes: number) {
  const results = new Set<string>();
  for (const chunk of chunksOfOneByte(bytes)) results.add(answers.take(attempt, chunk));
  return [...results];
}

describe('BufferedAnswers', () => {
  let written: Buffer[];
  let relay: AnswerRelay;
  let answers: BufferedAnswers;

  beforeEach(() => {
    written = [];
    const response = {
      req: { method: 'GET' },
      writeHead: () => undefined,
      write: (chunk: Buffer) => written.push(chunk),
      end: (chunk: Buffer) => written.push(chunk),
    };
    relay = new AnswerRelay(response as unknown as ServerResponse, () => false);
    answers = new BufferedAnswers(relay);
  });

  // Guards against a runner that fills the heap with chunks of one byte, each of which costs an object of its own.
  it('take little more memory than their bytes, however small their chunks are', async () => {
    const before = await heldMemory();
    for (const attempt of ATTEMPTS) {
      answers.begin(attempt, HEAD);
      expect(takeAll(answers, attempt, MAXIMUM_HELD_BYTES)).toEqual(['held']);
    }
    expect((await heldMemory()) - before).toBeLessThan(MAXIMUM_MEMORY_BYTES);
    expect(answers.of(FIRST) !== undefined).toEqual(true);
  });

  // Guards against an answer whose bytes get lost or mixed up while it is held in small chunks.
  it('are sent unchanged once they are complete', () => {
    answers.begin(FIRST, HEAD);
    answers.begin(SECOND, HEAD);
    takeAll(answers, SECOND, 5);
    takeAll(answers, FIRST, 3_000);
    answers.take(FIRST, Buffer.from('the end'));
    takeAll(answers, SECOND, 5);
    expect(relay.sendBuffered(answers.of(FIRST)!)).toEqual(true);
    const sent = [...chunksOfOneByte(3_000), Buffer.from('the end')];
    expect(Buffer.concat(written).toString()).toEqual(Buffer.concat(sent).toString());
  });

  // Guards against an answer that loses what was held, or repeats it, when it grows too large to be held.
  it('are passed on unchanged once they are too large', () => {
    answers.begin(FIRST, HEAD);
    expect(takeAll(answers, FIRST, MAXIMUM_HELD_BYTES + 1)).toEqual(['held', 'passed']);
    expect(answers.take(FIRST, Buffer.from('more'))).toEqual('passed');
    const sent = [...chunksOfOneByte(MAXIMUM_HELD_BYTES + 1), Buffer.from('more')];
    expect(Buffer.concat(written).equals(Buffer.concat(sent))).toEqual(true);
  });

  // Guards against a second answer that is written behind the first one as it grows too large.
  it('are rejected when they are too large and the answer belongs to another attempt', () => {
    for (const attempt of [FIRST, SECOND]) answers.begin(attempt, HEAD);
    takeAll(answers, SECOND, MAXIMUM_HELD_BYTES);
    takeAll(answers, FIRST, MAXIMUM_HELD_BYTES + 1);
    const before = Buffer.concat(written).length;
    expect(answers.take(SECOND, Buffer.from('x'))).toEqual('rejected');
    expect(answers.of(SECOND)).toEqual(undefined);
    expect(Buffer.concat(written).length).toEqual(before);
  });
});

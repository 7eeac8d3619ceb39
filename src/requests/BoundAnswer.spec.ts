import { describe, it } from 'node:test';

import { expect } from 'earl';

import { AnswerMemoryBudget, BoundAnswer } from './BoundAnswer.js';
import type { CallerEvent } from './requestTypes.js';
import { collect, endsOf, textOf } from './testFakes.js';

function chunk(text: string): CallerEvent {
  return { kind: 'chunk', data: Buffer.from(text), eventId: '' };
}

const COMPLETED: CallerEvent = {
  kind: 'completed',
  promptTokens: 0,
  generatedTokens: 0,
  cachedTokens: 0,
};

function answerOf(
  maximumRememberedBytes: number,
  memory = new AnswerMemoryBudget(10_000),
): BoundAnswer {
  return new BoundAnswer({ memory, maximumRememberedBytes, maximumBufferedBytes: 1_000 });
}

describe(BoundAnswer.name, () => {
  it('gives every reader the full answer, whenever it starts to read', async () => {
    const answer = answerOf(10_000);
    const early = collect(answer.read());
    answer.append(chunk('one '));
    const middle = collect(answer.read());
    answer.append(chunk('two'));
    answer.append(COMPLETED);
    for (const events of [await early, await middle, await collect(answer.read())]) {
      expect([textOf(events), endsOf(events)]).toEqual(['one two', ['completed']]);
    }
  });

  // Guards against one reader that does not read and thereby holds up the run, and all others
  // that wait for its outcome. Here the answer is too large to be kept, one reader reads and
  // another does not, and the run ends. It happens if the run waits for its slowest reader
  // without limit.
  it('waits for a slow reader only until the run has ended', async () => {
    const answer = answerOf(0);
    const stuck = answer.read();
    const reading = collect(answer.read());
    answer.append(chunk('x'.repeat(1_000)));
    await stuck.next();
    answer.append(chunk('y'.repeat(1_000)));
    let roomy = false;
    const room = answer.waitForRoom().then(() => {
      roomy = true;
    });
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(roomy).toEqual(false);
    answer.removeBackPressure();
    await room;
    answer.append(COMPLETED);
    expect(endsOf(await reading)).toEqual(['completed']);
    expect(endsOf(await collect(answer.read()))).toEqual(['cannot_resume']);
  });

  it('shares a memory budget with the other answers, and returns what it reserved', () => {
    const memory = new AnswerMemoryBudget(1_000);
    const [first, second] = [answerOf(10_000, memory), answerOf(10_000, memory)];
    first.append(chunk('x'.repeat(700)));
    second.append(chunk('y'.repeat(700)));
    expect(memory.tryReserve(200)).toEqual(false);
    first.releaseMemory();
    expect(memory.tryReserve(1_000)).toEqual(true);
  });

  it('reports the outcome of a failed run even when its answer is not kept', async () => {
    const answer = answerOf(0);
    answer.append(chunk('x'));
    answer.append({ kind: 'failed', code: 'stream_cut', notRun: false, message: 'cut' });
    expect(endsOf(await collect(answer.read()))).toEqual(['stream_cut']);
  });
});

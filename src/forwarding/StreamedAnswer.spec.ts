import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { AnswerSource } from './AnswerOwnership.js';
import type { AnswerRelay, PassResult } from './AnswerRelay.js';
import { StreamedAnswer } from './StreamedAnswer.js';

const EVENT = Buffer.from('id: 1\ndata: piece\n\n');

describe(StreamedAnswer.name, () => {
  it('takes no events of a runner that turns out to have started again at another version', () => {
    // Guards against a stream that is bound to the version of whichever runner goes on with it.
    const passed: Buffer[] = [];
    const relay = {
      hasHead: true,
      begin: () => true,
      pass: (_source: AnswerSource, chunk: Buffer): PassResult => {
        passed.push(chunk);
        return 'written';
      },
    } as Partial<AnswerRelay> as AnswerRelay;
    const stream = new StreamedAnswer(relay);
    stream.bindTo('v1');
    stream.take({ sourceName: 'runner-1' }, {} as IncomingMessage, () => 'v2');
    expect(stream.pass(EVENT)).toEqual('rejected');
    expect(passed).toEqual([]);
    expect(stream.softwareVersion).toEqual('v1');
  });
});

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

  it('resumes behind the last event that the caller has, not behind rejected ones', () => {
    // Guards against a stream that goes on without the events that a runner of another version has sent.
    const relay = {
      ...{ hasHead: true, begin: () => true, release: () => undefined },
      pass: () => 'written',
    };
    const stream = new StreamedAnswer(relay as Partial<AnswerRelay> as AnswerRelay);
    const source = { sourceName: 'runner-1' };
    stream.take(source, {} as IncomingMessage, () => 'v1');
    stream.pass(EVENT);
    stream.breakOff();
    stream.take(source, {} as IncomingMessage, () => 'v2');
    expect(stream.pass(Buffer.from('id: 2\ndata: piece\n\n'))).toEqual('rejected');
    expect(stream.lastEventId).toEqual('1');
  });
});

import type { IncomingMessage } from 'node:http';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { AnswerSource } from './AnswerOwnership.js';
import type { AnswerRelay, PassResult } from './AnswerRelay.js';
import { StreamedAnswer } from './StreamedAnswer.js';

const EVENT = Buffer.from('id: 1\ndata: piece\n\n');

describe(StreamedAnswer.name, () => {
  it('holds back events of a runner that may have started again until its version is known', () => {
    // Guards against a stream that goes on, for want of another runner, at one that has started again at another version.
    const passed: Buffer[] = [];
    const relay = {
      hasHead: true,
      begin: () => true,
      release: () => undefined,
      pass: (_source: AnswerSource, chunk: Buffer): PassResult => {
        passed.push(chunk);
        return 'written';
      },
    } as Partial<AnswerRelay> as AnswerRelay;
    let isFlowing = true;
    const answer = {
      pause: () => {
        isFlowing = false;
      },
      resume: () => {
        isFlowing = true;
      },
    } as unknown as IncomingMessage;
    let version: string | undefined;
    const stream = new StreamedAnswer(relay);
    stream.bindTo('v1');
    stream.take({ sourceName: 'runner-1' }, answer, () => version);
    expect([stream.pass(EVENT), isFlowing, passed.length]).toEqual(['held_back', false, 0]);
    expect([stream.lastEventId, stream.isBrokenOff]).toEqual([undefined, true]);
    expect([stream.pass(stream.release()), isFlowing]).toEqual(['held_back', false]);
    version = 'v1';
    expect([stream.pass(stream.release()), isFlowing]).toEqual(['event', true]);
    expect([passed, stream.lastEventId]).toEqual([[EVENT], '1']);
    version = undefined;
    expect(stream.pass(EVENT)).toEqual('held_back');
    version = 'v2';
    expect([stream.pass(stream.release()), passed.length]).toEqual(['rejected', 1]);
  });

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
    expect([stream.softwareVersion, stream.lastEventId]).toEqual(['v1', undefined]);
  });
});

import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';
import type { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import { Runner } from '../runners/Runner.js';
import type { RunnerEntry } from '../runners/Runner.js';
import { StreamVersionSession } from './StreamVersionSession.js';

const ENTRY: RunnerEntry = {
  ...{ id: 'runner-1', life: 'runner-1@1', service: 'chat', state: 'ready', dataCentre: 'here' },
  ...{ host: '10.0.0.1', port: 8_000, softwareVersion: 'v1' },
};

/** The part of a stream that decides how it goes on. */
class TestStream {
  softwareVersion: string | undefined;

  lastEventId: string | undefined;

  get isBound(): boolean {
    return this.softwareVersion !== undefined;
  }

  bindTo(softwareVersion: string): void {
    this.softwareVersion = softwareVersion;
  }
}

describe('a stream that begins at a runner which may have started again', () => {
  let runner: Runner;
  let stream: TestStream;
  let session: StreamVersionSession;
  let recorded: string[];

  beforeEach(() => {
    runner = new Runner(ENTRY);
    stream = new TestStream();
    recorded = [];
    const request = {
      ...{ service: 'chat', clientAccount: 'account-1', id: 'stream-1', hasOwnId: true },
      route: { kind: 'stream', resumable: true },
    };
    session = new StreamVersionSession({
      request: request as AdmittedRequest,
      stream: stream as unknown as StreamedAnswer,
      task: {
        begin: (_name, softwareVersion) => BigInt(recorded.push(softwareVersion)),
        end: () => undefined,
        find: () => undefined,
      },
    });
  });

  /** Sends the request, and receives the events that follow. */
  function begin(): () => void {
    session.record(runner);
    const versionOf = session.versionAt(runner, 0);
    return () => {
      stream.softwareVersion = versionOf() ?? stream.softwareVersion;
      stream.lastEventId = '1';
      if (stream.isBound) session.record(runner);
    };
  }

  it('is not recorded with a version, and does not go on, until the doubt has ended', () => {
    // Guards against a guess: the entry may be that of another version than the one that writes the events.
    runner.restart.record(0);
    const receive = begin();
    receive();
    expect([recorded, stream.softwareVersion, session.settle()]).toEqual([[], undefined, false]);
    runner.restart.takeReport(true, 1);
    expect([session.settle(), stream.softwareVersion]).toEqual([true, 'v1']);
    receive();
    expect(recorded).toEqual(['v1']);
  });

  it('goes on at the version of the life that has begun it', () => {
    // Guards against going on at the version of the entry after the runner has started again.
    runner.restart.record(0);
    begin()();
    runner.restart.takeReport(false, 1);
    expect(session.settle()).toEqual(false);
    runner.successor = new Runner({ ...ENTRY, life: 'runner-1@2', softwareVersion: 'v2' });
    expect([session.settle(), stream.softwareVersion]).toEqual([true, 'v2']);
  });

  it('may go on anywhere as long as it has no events', () => {
    // Guards against a request that waits although its caller has received nothing.
    runner.restart.record(0);
    begin();
    expect([session.settle(), stream.softwareVersion]).toEqual([true, undefined]);
  });

  it('does not go on if another daemon has sent its events without a version', () => {
    // Guards against a request that was handed over, and whose events are from a runner in doubt there.
    stream.lastEventId = '1';
    expect(session.settle()).toEqual(false);
    stream.bindTo('v1');
    expect(session.settle()).toEqual(true);
  });

  it('goes on at once if the doubt has arisen after its events', () => {
    // Guards against streams of a crashed runner that wait for its next entry.
    begin()();
    runner.restart.record(0);
    expect([session.settle(), stream.softwareVersion, recorded]).toEqual([true, 'v1', ['v1']]);
  });
});

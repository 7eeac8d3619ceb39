import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Runner, RunnerEntry } from '../runners/Runner.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { ManualClock } from '../time/ManualClock.js';
import { RestartNotices } from './RestartNotices.js';

const RUNNERS = 6;

const KNOWN_MILLISECONDS = 3_000;

const DAEMONS = ['one', 'two', 'three'];

function runnerOf(index: number): RunnerEntry {
  const id = `runner-${index}`;
  const softwareVersion = index < RUNNERS / 2 ? 'v1' : 'v2';
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
  return { id, life: id, service: 'chat', state: 'ready', softwareVersion, ...place };
}

describe('runners that may have started again at another software version', () => {
  let clock: ManualClock;
  let tables: RunnerTable[];
  let notices: RestartNotices[];
  let calls: (() => void)[];

  beforeEach(() => {
    clock = new ManualClock();
    calls = [];
    const handlers: ((message: Uint8Array) => void)[] = [];
    const all = DAEMONS.map((daemon) => {
      const runners = new RunnerTable();
      for (let index = 0; index < RUNNERS; index += 1) runners.put(runnerOf(index), 0);
      const socket = {
        handle: (_kind: MessageKind, handler: (message: Uint8Array) => void) => {
          handlers.push(handler);
        },
        send: (_kind: MessageKind, message: Uint8Array) =>
          handlers.forEach((take) => take(message)),
      };
      const others: HostAndPort[] = [{ host: '10.0.0.1', port: 1 }];
      const later = (call: () => void) => calls.push(call);
      const recipients = { reportRecipients: () => others, broadcastRecipients: () => [] };
      const made = new RestartNotices({ daemon, runners, socket, clock, later, ...recipients });
      return { runners, made };
    });
    tables = all.map(({ runners }) => runners);
    notices = all.map(({ made }) => made);
  });

  function runnersOf(daemon: number): readonly Runner[] {
    return tables[daemon]!.readyOf('chat');
  }

  function lose(daemon: number, count: number): void {
    for (const runner of runnersOf(daemon).slice(0, count)) notices[daemon]!.recordLost(runner);
    for (const call of calls.splice(0)) call();
  }

  /** Number of runners that a stream may go to at a daemon. */
  function countFor(daemon: number, softwareVersion?: string): number {
    const now = clock.monotonicMilliseconds();
    const limits = { tried: new Set<string>(), connectionLimit: 10, needsVersion: true, now };
    const question = { ...limits, softwareVersion };
    return new RunnerAdmission().admitted(runnersOf(daemon), question).length;
  }

  it('get no streams from any daemon until their entries are known', () => {
    // Guards against a daemon that takes a runner for the one that had its id before, until it reads the new entry.
    lose(0, 1);
    expect([0, 1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([2, 2, 2]);
    expect(countFor(1)).toEqual(RUNNERS - 1);
    clock.advance(KNOWN_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2);
  });

  it('get streams if no other runner of the version is left', () => {
    // Guards against streams that nobody goes on with after a failure of the link to all runners.
    lose(0, RUNNERS);
    expect(countFor(0, 'v1')).toEqual(RUNNERS / 2);
    expect(countFor(0)).toEqual(RUNNERS);
  });

  it('are not reported by a daemon that has lost its connections to most runners', () => {
    // Guards against one daemon with a failed link that keeps the streams of all others from sound runners.
    lose(0, RUNNERS - 1);
    expect([1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([RUNNERS / 2, RUNNERS / 2]);
  });
});

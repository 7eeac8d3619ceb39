import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Runner, RunnerEntry } from '../runners/Runner.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { ManualClock } from '../time/ManualClock.js';
import { RestartDoubts } from './RestartDoubts.js';
import { RestartNotices } from './RestartNotices.js';

const RUNNERS = 6;

const KNOWN_MILLISECONDS = 3_000;

const STEP_MILLISECONDS = 100;

/** Longer than the interval at which doubts are looked at, in ms. */
const LOOK_MILLISECONDS = 600;

const DAEMONS = ['one', 'two', 'three'];

function runnerOf(index: number, life = `runner-${index}`): RunnerEntry {
  const id = `runner-${index}`;
  const softwareVersion = index < RUNNERS / 2 ? 'v1' : 'v2';
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
  return { id, life, service: 'chat', state: 'ready', softwareVersion, ...place };
}

describe('runners that may have started again at another software version', () => {
  let clock: ManualClock;
  let tables: RunnerTable[];
  let notices: RestartNotices[];
  let handlers: ((message: Uint8Array) => void)[];
  let calls: { call: () => void; at: number }[];
  let log: MemoryLog;

  /** When the store last answered, monotonic ms; it always does if it is `undefined`. */
  let silentSince: number | undefined;

  /** The life that runners report; none if it is `undefined`. */
  let reportedLife: string | undefined;

  /** Runners that were asked for a report. */
  let asked: string[];

  function add(daemon: string): void {
    const runners = new RunnerTable();
    for (let index = 0; index < RUNNERS; index += 1) runners.put(runnerOf(index), 0);
    const socket = {
      handle: (_kind: MessageKind, handler: (message: Uint8Array) => void) => {
        handlers.push(handler);
      },
      send: (_kind: MessageKind, message: Uint8Array) => handlers.forEach((take) => take(message)),
    };
    const others: HostAndPort[] = [{ host: '10.0.0.1', port: 1 }];
    const later = (call: () => void, milliseconds: number) =>
      calls.push({ call, at: clock.monotonicMilliseconds() + milliseconds });
    const recipients = { reportRecipients: () => others, broadcastRecipients: () => [] };
    const doubts = new RestartDoubts({
      ...{ runners, clock, log, later, random: () => 0.5 },
      registry: new MetricRegistry({ clock }),
      listConfirmedAt: () => silentSince ?? clock.monotonicMilliseconds(),
      fetchLife: ({ entry }, done) => {
        asked.push(entry.id);
        done(reportedLife);
      },
    });
    notices.push(new RestartNotices({ daemon, runners, socket, doubts, later, ...recipients }));
    tables.push(runners);
  }

  beforeEach(() => {
    clock = new ManualClock();
    [calls, handlers, tables, notices, asked] = [[], [], [], [], []];
    [silentSince, reportedLife] = [undefined, undefined];
    log = new MemoryLog();
    DAEMONS.forEach((daemon) => add(daemon));
  });

  function runnersOf(daemon: number): readonly Runner[] {
    return tables[daemon]!.readyOf('chat');
  }

  function pass(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      clock.advance(STEP_MILLISECONDS);
      const now = clock.monotonicMilliseconds();
      const due = calls.filter(({ at }) => at <= now);
      calls = calls.filter(({ at }) => at > now);
      for (const { call } of due) call();
    }
  }

  function lose(daemon: number, count: number): void {
    for (const runner of runnersOf(daemon).slice(0, count)) {
      notices[daemon]!.recordLost(runner, 'connection_closed');
    }
    pass(STEP_MILLISECONDS);
  }

  /** Number of runners that a stream may go to at a daemon. */
  function countFor(daemon: number, softwareVersion?: string): number {
    const now = clock.monotonicMilliseconds();
    const limits = { tried: new Set<string>(), connectionLimit: 10, needsVersion: true, now };
    const question = { ...limits, softwareVersion };
    return new RunnerAdmission().admitted(runnersOf(daemon), question).length;
  }

  function endsOf(): unknown[] {
    return log.fieldsOf(forwardingLogEvents.restartDoubtEnded).map(({ by }) => by);
  }

  it('are told to others at once when a request breaks off there, too', () => {
    // Guards against streams that go on at a runner that has started again, as the notice of it waits for proof.
    const [runner] = runnersOf(0);
    runner!.inFlight = 2;
    lose(0, 1);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2);
    notices[0]!.recordBroken(runner!);
    pass(STEP_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2 - 1);
  });

  it('are told to others unless data proves that they have not started again', () => {
    // Guards against a fleet that doubts each runner that closes an idle connection.
    const [runner] = runnersOf(0);
    runner!.inFlight = 1;
    lose(0, 1);
    runner!.restart.takeData(Number.NEGATIVE_INFINITY, clock.monotonicMilliseconds() + 1_000);
    pass(KNOWN_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2);
    runner!.inFlight = 1;
    lose(0, 1);
    pass(KNOWN_MILLISECONDS / 2);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2 - 1);
  });

  it('get no streams from any daemon until the list has been current for long enough', () => {
    // Guards against a daemon that takes a runner for the one that had its id before, until it reads the new entry.
    lose(0, 1);
    expect([0, 1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([2, 2, 2]);
    expect(countFor(1)).toEqual(RUNNERS - 1);
    pass(KNOWN_MILLISECONDS - LOOK_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(2);
    pass(2 * LOOK_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2);
    expect(endsOf()).toEqual(['list', 'list', 'list']);
  });

  it('are not asked for a report while the store answers', () => {
    // Guards against probes, which have a price, of runners that the list shows anyway.
    lose(0, 1);
    pass(2 * KNOWN_MILLISECONDS);
    expect(asked).toEqual([]);
  });

  it('get no streams as long as the store is silent', () => {
    // Guards against a doubt that ends by the clock although the new entry could not be read.
    silentSince = 0;
    lose(0, 1);
    pass(10 * KNOWN_MILLISECONDS);
    expect([0, 1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([2, 2, 2]);
    expect(asked.length).toBeGreaterThan(0);
    expect(new Set(asked)).toEqual(new Set(['runner-0']));
    silentSince = undefined;
    pass(KNOWN_MILLISECONDS + 2 * LOOK_MILLISECONDS);
    expect(countFor(1, 'v1')).toEqual(RUNNERS / 2);
  });

  it('get streams again when they report the life of their entries', () => {
    // Guards against a sound runner that gets no streams for as long as the store is silent.
    silentSince = 0;
    reportedLife = 'runner-0';
    lose(0, 1);
    pass(KNOWN_MILLISECONDS);
    expect([0, 1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([3, 3, 3]);
    expect(new Set(endsOf())).toEqual(new Set(['report']));
  });

  it('get no streams of their former version after a report of another life, until their entries are known', () => {
    // Guards against a stream that has begun and goes on at a runner that has started again, for want of another one.
    silentSince = 0;
    reportedLife = 'runner-0@2';
    lose(0, RUNNERS / 2);
    pass(KNOWN_MILLISECONDS);
    expect(countFor(0, 'v1')).toEqual(0);
    expect(countFor(0)).toEqual(RUNNERS);
    tables[0]!.put({ ...runnerOf(0, 'runner-0@2'), softwareVersion: 'v2' });
    expect([countFor(0, 'v1'), countFor(0, 'v2')]).toEqual([0, RUNNERS / 2 + 1]);
  });

  it('are told to a daemon that starts while the store is silent', () => {
    // Guards against a daemon that does not know of a doubt because it has begun before its start.
    silentSince = 0;
    lose(0, 1);
    pass(KNOWN_MILLISECONDS);
    add('four');
    expect(countFor(3, 'v1')).toEqual(RUNNERS / 2);
    pass(2 * KNOWN_MILLISECONDS);
    expect(countFor(3, 'v1')).toEqual(2);
  });

  it('get streams if no other runner of the version is left', () => {
    // Guards against streams that nobody goes on with after a failure of the link to all runners.
    lose(0, RUNNERS);
    expect(countFor(0, 'v1')).toEqual(RUNNERS / 2);
    expect(countFor(0)).toEqual(RUNNERS);
  });

  it('are not reported by a daemon that has lost its connections to most runners', () => {
    // Guards against one daemon with a failed link that keeps the streams of all others from sound runners.
    silentSince = 0;
    lose(0, RUNNERS - 1);
    pass(2 * KNOWN_MILLISECONDS);
    expect([1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([RUNNERS / 2, RUNNERS / 2]);
  });

  it('are told to others when they say themselves that they have started again', () => {
    // Guards against a small fleet in which two runners of three that start again count as a failed link.
    silentSince = 0;
    lose(0, RUNNERS - 1);
    const [runner] = runnersOf(0);
    notices[0]!.recordLife(runner!, 'runner-0@2', clock.monotonicMilliseconds());
    pass(KNOWN_MILLISECONDS / 2);
    expect([0, 1, 2].map((daemon) => countFor(daemon, 'v1'))).toEqual([2, 2, 2]);
    expect(runner!.restart.hasRestarted).toEqual(true);
  });
});

import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { partSubject, RequestSubjects } from '../quarantine/requestSubjects.js';
import type { CrashSubject } from '../quarantine/quarantineTypes.js';
import { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import { Runner } from '../runners/Runner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { ManualClock } from '../time/ManualClock.js';
import { QuarantineSession } from './QuarantineSession.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

const PART = partSubject('chat', 'a1');

const WHOLE = { digest: 'f'.repeat(32) };
const OTHER = { digest: 'e'.repeat(32) };

const ATTEMPT = { runner: new Runner(TEST_RUNNER), startedAt: 0 } as RunnerAttempt;

describe(QuarantineSession.name, () => {
  let clock: ManualClock;
  let quarantine: RequestQuarantine;

  /** Digests of the requests that had to end. */
  let ended: string[];

  beforeEach(() => {
    clock = new ManualClock({ monotonicMilliseconds: 10_000 });
    ended = [];
    const crashes = { increment: () => undefined };
    const log = new SilentLog();
    quarantine = new RequestQuarantine({ runners: new RunnerTable(), clock, log, crashes });
  });

  function sessionOf({ digest }: CrashSubject): QuarantineSession {
    const subjects = new RequestSubjects({ digest, service: 'chat', partIds: () => ['a1'] });
    const active = new Set([ATTEMPT]);
    const onQuarantined = () => ended.push(digest);
    return new QuarantineSession({
      ...{ quarantine, subjects, service: 'chat', active, onQuarantined },
    });
  }

  function crash(life: number, subjects: CrashSubject[] = [WHOLE, PART]): void {
    const now = clock.monotonicMilliseconds();
    quarantine.decisions.crashed(subjects, { life, at: now }, now);
    clock.advance(200);
  }

  // Guards against sound streams that are cut because other requests with a part of theirs were at two crashes.
  it('lets a request run again whose part was beside two crashes, and not one that was itself', () => {
    crash(1);
    crash(2);
    const [other, same] = [sessionOf(OTHER), sessionOf(WHOLE)];
    expect([other.isRepeatedSuspect, same.isRepeatedSuspect]).toEqual([true, true]);
    expect([other.mayRunAgain, same.mayRunAgain]).toEqual([true, false]);
  });

  // Guards against parts that are blamed for crashes in the middle of long streams.
  it('clears the parts of a stream that has gone on for a second, and not the request', () => {
    const session = sessionOf(WHOLE);
    session.streamed(ATTEMPT, clock.monotonicMilliseconds());
    crash(1);
    expect(quarantine.decisions.crashesOf(PART.digest)).toEqual(1);
    clock.advance(800);
    session.failed(ATTEMPT, 'broken', clock.monotonicMilliseconds());
    expect(quarantine.decisions.crashesOf(PART.digest)).toEqual(0);
    expect(quarantine.decisions.crashesOf(WHOLE.digest)).toEqual(1);
  });

  // Guards against streams that are cut for a part that their runners have already answered on.
  it('ends requests with a part that is quarantined, but for streams that have begun', () => {
    const [waiting, streaming] = [sessionOf(OTHER), sessionOf(WHOLE)];
    for (const session of [waiting, streaming]) session.begin();
    streaming.streamed(ATTEMPT, clock.monotonicMilliseconds());
    for (const life of [1, 2, 3]) crash(life, [PART]);
    expect(ended).toEqual([OTHER.digest]);
    for (const life of [4, 5, 6]) crash(life, [WHOLE]);
    expect(ended).toEqual([OTHER.digest, WHOLE.digest]);
  });

  it('does not clear the parts of a stream that breaks off sooner', () => {
    const session = sessionOf(WHOLE);
    session.streamed(ATTEMPT, clock.monotonicMilliseconds());
    crash(1);
    session.failed(ATTEMPT, 'broken', clock.monotonicMilliseconds());
    expect(quarantine.decisions.crashesOf(PART.digest)).toEqual(1);
  });
});

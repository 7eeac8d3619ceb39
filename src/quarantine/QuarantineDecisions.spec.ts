import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { QuarantineDecisions } from './QuarantineDecisions.js';

const DIGEST = 'f'.repeat(32);
const DAY_MILLISECONDS = 86_400_000;

describe(QuarantineDecisions.name, () => {
  let decisions: QuarantineDecisions;

  beforeEach(() => {
    decisions = new QuarantineDecisions();
  });

  function crash(life: number, at: number, digests = [DIGEST]): void {
    const subjects = digests.map((digest) => ({ digest }));
    decisions.crashed(subjects, { life, at }, at);
  }

  function crashThree(): void {
    for (const life of [1, 2, 3]) crash(life, life * 100);
  }

  it('quarantines a request after crashes of three incarnations that ran it', () => {
    crash(1, 100);
    crash(2, 200);
    expect(decisions.stateOf(DIGEST)).toEqual('suspect');
    crash(3, 300);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
  });

  it('counts a crash reported by several daemons once, and a later one of the same incarnation again', () => {
    crash(1, 100);
    decisions.merge(
      [{ digest: DIGEST, crashes: [{ life: 1, at: 140 }], clearedAt: undefined }],
      150,
    );
    expect(decisions.crashesOf(DIGEST)).toEqual(1);
    crash(1, 5_000);
    expect(decisions.crashesOf(DIGEST)).toEqual(2);
  });

  it('clears a request that a runner answers, at this daemon or another one', () => {
    crashThree();
    decisions.answered([DIGEST], 400);
    expect(decisions.stateOf(DIGEST)).toEqual('sound');
    crash(4, 10_000);
    decisions.merge([{ digest: DIGEST, crashes: [], clearedAt: 10_100 }], 10_100);
    expect(decisions.stateOf(DIGEST)).toEqual('sound');
  });

  it('clears a request that was answered just before a reported crash, and reports that to other daemons', () => {
    decisions.answered([DIGEST], 50);
    decisions.merge(
      [{ digest: DIGEST, crashes: [{ life: 1, at: 100 }], clearedAt: undefined }],
      110,
    );
    expect(decisions.stateOf(DIGEST)).toEqual('sound');
    expect([...decisions.takeChanged()]).toEqual([[DIGEST, 'seen']]);
  });

  it('quarantines a request that crashes runners although it was answered long ago', () => {
    decisions.answered([DIGEST], 0);
    for (const life of [1, 2, 3]) crash(life, 10_000 + life);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
  });

  it('quarantines a request although many earlier crashes were cleared', () => {
    for (let life = 1; life <= 20; life += 1) {
      crash(life, life * 10_000);
      decisions.answered([DIGEST], life * 10_000 + 100);
    }
    for (const life of [31, 32, 33]) crash(life, 300_000 + life);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
  });

  // Guards against requests that are refused for good because they were at runners that crashed of overload.
  it('blames no request for crashes of runners that had to reject requests, and tells other daemons', () => {
    decisions.rejected(1, 900);
    for (const life of [1, 2, 3, 4]) crash(life, 1_000);
    expect([decisions.crashesOf(DIGEST), decisions.stateOf(DIGEST)]).toEqual([3, 'quarantined']);
    decisions.rejected(2, 1_800);
    expect(decisions.stateOf(DIGEST)).toEqual('suspect');
    const other = new QuarantineDecisions();
    const unexcused = [1, 2, 3].map((life) => ({ life, at: 1_000 }));
    other.merge([{ digest: DIGEST, crashes: unexcused, clearedAt: undefined }], 1_100);
    expect(other.stateOf(DIGEST)).toEqual('quarantined');
    other.merge([decisions.summaryOf(DIGEST)!], 1_200);
    expect(other.stateOf(DIGEST)).toEqual('suspect');
    other.merge([{ digest: DIGEST, crashes: unexcused, clearedAt: undefined }], 1_300);
    expect(other.stateOf(DIGEST)).toEqual('suspect');
  });

  it('blames a request for a crash long after a rejection', () => {
    decisions.rejected(1, 0);
    for (const life of [1, 2, 3]) crash(life, 5_000);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
  });

  // Guards against a daemon that has seen the rejections, but of the crashes knows from others only.
  it('tells other daemons of an overload that only this one has seen', () => {
    decisions.rejected(1, 900);
    decisions.takeChanged();
    const crashes = [1, 2, 3].map((life) => ({ life, at: 1_000 }));
    decisions.merge([{ digest: DIGEST, crashes, clearedAt: undefined }], 1_100);
    expect([...decisions.takeChanged()]).toEqual([[DIGEST, 'seen']]);
  });

  // Guards against an answer that excuses one crash after the other of a subject that has begun to crash runners.
  it('excuses the crashes of one moment after an answer, and counts later ones', () => {
    decisions.answered([DIGEST], 0);
    for (const life of [1, 2]) crash(life, 1_000 + life);
    expect(decisions.stateOf(DIGEST)).toEqual('sound');
    for (const life of [3, 4, 5]) crash(life, 2_000 + life * 100);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
  });

  // Guards against answers of another software version that let a request go on to the one that it crashes.
  it('counts crashes of a software version whatever another one answers', () => {
    for (const life of [1, 2, 3]) {
      decisions.crashed([{ digest: DIGEST }], { life, at: life, versionHash: 1 }, life);
      decisions.answered([DIGEST], life, 2);
    }
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
    expect([decisions.isAnsweredAt(DIGEST, 1), decisions.isAnsweredAt(DIGEST, 2)]).toEqual([
      false,
      true,
    ]);
  });

  it('keeps a request quarantined for a day after the last crash', () => {
    crashThree();
    decisions.expire(300 + DAY_MILLISECONDS - 1);
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
    decisions.expire(300 + DAY_MILLISECONDS);
    expect(decisions.stateOf(DIGEST)).toEqual('sound');
  });

  it('keeps the requests with the most crashes when it reaches the maximum number of records', () => {
    crashThree();
    for (let life = 10; life < 210; life += 1) {
      const neighbours = Array.from({ length: 50 }, (_, index) =>
        (life * 100 + index).toString(16).padStart(32, '0'),
      );
      crash(life, 1_000 + life, neighbours);
    }
    expect(decisions.stateOf(DIGEST)).toEqual('quarantined');
    expect(decisions.quarantinedCount).toEqual(1);
  });
});

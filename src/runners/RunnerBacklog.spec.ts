import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { seededRandom } from '../random/seededRandom.js';
import { RunnerBacklog } from './RunnerBacklog.js';

const DEADLINE_MILLISECONDS = 1_500;

const WORK_MILLISECONDS = 100;

const SLOW_FACTOR = 8;

describe(RunnerBacklog.name, () => {
  let backlog: RunnerBacklog;

  beforeEach(() => {
    backlog = new RunnerBacklog({ random: () => 1 });
  });

  it('admits everything before a request was left unanswered, and long after', () => {
    expect(backlog.admits(500, 0)).toEqual(true);
    backlog.recordUnanswered(0, 1, 1_000);
    expect(backlog.admits(0, 1_100)).toEqual(false);
    expect(backlog.admits(500, 21_000)).toEqual(true);
  });

  it('halves its limit once for requests that waited at the same time', () => {
    for (let inFlight = 8; inFlight > 0; inFlight -= 1)
      backlog.recordUnanswered(0, inFlight, 1_000);
    expect([backlog.admits(3, 1_000), backlog.admits(4, 1_000)]).toEqual([true, false]);
  });

  it('admits one request after each of growing pauses, until one is answered', () => {
    let now = 1_000;
    const pauses: number[] = [];
    for (let count = 0; count < 7; count += 1) {
      backlog.recordUnanswered(now - 1, 1, now);
      pauses.push(backlog.remainingPause(now));
      now += backlog.remainingPause(now);
      expect([backlog.admits(0, now), backlog.admits(1, now)]).toEqual([true, false]);
    }
    expect(pauses).toEqual([250, 500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    backlog.recordAnswered();
    expect(backlog.admits(1, now)).toEqual(true);
  });
});

interface Sender {
  readonly backlog: RunnerBacklog;
  inFlight: number;
}

interface SentRequest {
  readonly sender: Sender;
  readonly at: number;
  isGivenUp: boolean;
}

/** One runner with a queue, before daemons that send whenever they may; in steps of 10 ms. */
function playSlowRunner({ daemons, slots }: { daemons: number; slots: number }) {
  const random = seededRandom(daemons);
  const fleet: Sender[] = Array.from({ length: daemons }, () => ({
    backlog: new RunnerBacklog({ random }),
    inFlight: 0,
  }));
  let queue: SentRequest[] = [];
  const running: { sent: SentRequest; until: number }[] = [];
  const counts = { ran: 0, inTime: 0 };
  for (let now = 0; now < 30_000; now += 10) {
    const isSlow = now < 20_000;
    for (const sent of [...queue, ...running.map((one) => one.sent)]) {
      if (sent.isGivenUp || now - sent.at < DEADLINE_MILLISECONDS) continue;
      sent.isGivenUp = true;
      sent.sender.backlog.recordUnanswered(sent.at, sent.sender.inFlight, now);
      sent.sender.inFlight -= 1;
    }
    for (const one of running.filter(({ until }) => until <= now)) {
      running.splice(running.indexOf(one), 1);
      if (now >= 4_000) counts.ran += 1;
      if (one.sent.isGivenUp) continue;
      one.sent.sender.inFlight -= 1;
      one.sent.sender.backlog.recordAnswered();
      if (now >= 4_000) counts.inTime += 1;
    }
    for (const sender of fleet) {
      if (sender.inFlight >= slots || !sender.backlog.admits(sender.inFlight, now)) continue;
      sender.inFlight += 1;
      queue.push({ sender, at: now, isGivenUp: false });
    }
    queue = queue.filter(({ isGivenUp }) => !isGivenUp);
    while (running.length < slots && queue.length > 0) {
      const until = now + WORK_MILLISECONDS * (isSlow ? SLOW_FACTOR : 1);
      running.push({ sent: queue.shift() as SentRequest, until });
    }
  }
  return counts;
}

describe('a runner that has become slow, before daemons with more requests than it can take', () => {
  for (const [daemons, slots] of [
    [6, 4],
    [20, 4],
    [90, 16],
    [300, 64],
  ] as const) {
    // Guards against a runner that is kept busy with requests whose callers have left.
    it(`of ${daemons} daemons answers at least half of what it runs in time`, () => {
      const { ran, inTime } = playSlowRunner({ daemons, slots });
      expect(ran).toBeGreaterThan(100);
      expect(inTime / ran).toBeGreaterThanOrEqual(0.5);
    });
  }
});

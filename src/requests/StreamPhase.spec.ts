import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import { StreamPhase } from './StreamPhase.js';
import type { CallerEvent } from './requestTypes.js';
import type { GateScript } from './testGates.js';
import { collect, endsOf, requestOf, textOf } from './testFakes.js';
import { ANSWER, gateEvent } from './testGates.js';
import { STAYS, withHarness } from './testHarness.js';

/** A gate that says these things and then cuts the connection. */
function saying(say: (attempt: Parameters<GateScript>[0]) => ExecuteEvent[]): GateScript {
  return async function* script(attempt) {
    attempt.run();
    yield* say(attempt);
  };
}

function crossedEnd(): ExecuteEvent {
  return gateEvent('completed', { attemptId: 'other', lastSequence: 0 });
}

function lastEventId(events: readonly CallerEvent[]): string {
  const last = events.findLast((event) => event.kind === 'chunk');
  if (last?.kind !== 'chunk') throw new Error('no chunk came');
  return last.eventId;
}

describe(StreamPhase.name, () => {
  const streams: [string, GateScript, number][] = [
    ['whole', saying((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(3), a.completed()]), 0],
    ['doubled chunk', saying((a) => [a.head(), a.chunk(1), a.chunk(1), a.chunk(2), a.chunk(3)]), 1],
    ['late chunk', saying((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(1), a.chunk(3)]), 1],
    ['missing chunk', saying((a) => [a.head(), a.chunk(1), a.chunk(3), a.completed()]), 1],
    ['missing tail', saying((a) => [a.head(), a.chunk(1), a.completed(3)]), 1],
    ['end before the end', saying((a) => [a.head(), a.chunk(1), a.chunk(2), a.completed(1)]), 1],
    ['crossed chunk', saying((a) => [a.head(), a.chunk(1, 'other'), a.chunk(1), a.chunk(2)]), 1],
    ['crossed end', saying((a) => [a.head(), crossedEnd(), a.chunk(1)]), 1],
    ['chunk before the head', saying((a) => [a.chunk(1), a.head(), a.chunk(1)]), 1],
    ['no end', saying((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(3)]), 1],
  ];

  for (const [name, script, resumes] of streams) {
    // Symptom: a caller gets a word twice, misses one, gets somebody else's, or half an answer as a whole.
    // Sequence: the stream from the gate has a fault of this kind.
    // Cause: chunks are passed on by arrival, not by attempt and number, or any end is taken for the end.
    it(
      `gives each chunk once and in order: ${name}`,
      withHarness(async (harness) => {
        harness.gates.follow(script);
        const events = await harness.run(requestOf());
        expect(endsOf(events)).toEqual(['completed']);
        expect(textOf(events)).toEqual(ANSWER.join(''));
        expect(harness.gates.resumed.length).toEqual(resumes);
        expect(harness.runners.runsOf('request')).toEqual(1);
      }),
    );
  }

  // Symptom: after a death of its daemon a stream is over, though its runner goes on.
  // Sequence: the gate's daemon dies; for some seconds nobody, or the wrong one, holds the gate.
  // Cause: one refused resume is taken for the end; or for "not run", though the runner has been at work.
  it(
    'resumes again and again while the gate moves, with growing pauses',
    withHarness(async (harness) => {
      const moving = gateEvent('refused', { reason: 'gate_not_here' });
      harness.gates.follow(saying((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(new Error('reset'), moving, moving, moving, moving);
      const start = harness.time.clock.monotonicMilliseconds();
      const events = await harness.run(requestOf());
      const duration = harness.time.clock.monotonicMilliseconds() - start;
      expect(endsOf(events)).toEqual(['completed']);
      expect(textOf(events)).toEqual(ANSWER.join(''));
      expect(harness.gates.resumed.map(({ afterSequence }) => afterSequence)).toEqual(
        Array.from({ length: 6 }, () => 1),
      );
      // 50 + 100 + 200 + 400 + 800 ms of pauses.
      expect(duration >= 1_550 && duration < 1_700).toEqual(true);
    }),
  );

  // Symptom: a caller comes back for the rest of its stream again and again, and is told to come back each time.
  // Sequence: the stream is cut, and by the time it is resumed its runner has dropped the attempt.
  // Cause: "the rest is gone" from the gate is passed on as one more cut.
  it(
    'says that the rest is gone where the runner has dropped the attempt',
    withHarness(async (harness) => {
      const gone = { attemptId: 'any', code: 'cannot_resume', resumable: false };
      harness.gates.follow(saying((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(gateEvent('failed', gone));
      const events = await harness.run(requestOf());
      expect(events.at(-1)).toEqual(
        expect.subset({ kind: 'failed', code: 'stream_cut', notRun: false, resumable: false }),
      );
      harness.gates.failResumes(gateEvent('failed', gone));
      const id = lastEventId(events);
      const resumed = harness.owner.resume('litoral.showroom', id, 1_000, STAYS);
      expect(endsOf(await harness.time.until(collect(resumed)))).toEqual(['cannot_resume']);
    }),
  );

  it(
    'gives up a stream that nobody can continue, at once and in so many words',
    withHarness(async (harness) => {
      harness.gates.follow(saying((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(...Array.from({ length: 100 }, () => new Error('reset')));
      const events = await harness.run(requestOf({ deadlineMilliseconds: 60_000 }));
      expect(events.at(-1)).toEqual(
        expect.subset({ kind: 'failed', code: 'stream_cut', notRun: false, resumable: true }),
      );
      expect(harness.gates.resumed.length).toEqual(12);
      expect(harness.time.clock.monotonicMilliseconds() < 20_000).toEqual(true);
    }),
  );

  // Symptom: a stream jumps back and forth between two connections of one caller, and neither gets on.
  // Sequence: the caller comes back through another daemon while the first still holds a half-open connection.
  // Cause: the first owner takes the take-over for a cut and resumes, and so does the second in its turn.
  it(
    'leaves a stream to the reader that took it over',
    withHarness(async (harness) => {
      const takenOver = { code: 'stream_cut', message: 'taken over', resumable: false };
      harness.gates.follow(
        saying((a) => [a.head(), a.chunk(1), gateEvent('failed', { ...takenOver })]),
      );
      const events = await harness.run(requestOf());
      expect(endsOf(events)).toEqual(['stream_cut']);
      expect([harness.gates.resumed.length, harness.gates.executed.length]).toEqual([0, 1]);
    }),
  );

  // Symptom: a counter agent whose connection broke gets the whole answer again, or somebody else's.
  // Sequence: the caller leaves after the first chunk and comes back with Last-Event-ID through another daemon.
  // Cause: the attempt is cancelled with its connection, or the event id does not say whose stream it is.
  it(
    'lets the stream’s own account, and nobody else, continue through another daemon',
    withHarness(async (harness) => {
      const gone = new AbortController();
      harness.gates.follow(async function* waits(attempt) {
        attempt.run();
        yield attempt.head();
        yield attempt.chunk(1);
        await attempt.freeze();
      });
      const first = collect(harness.owner.run(requestOf(), gone.signal));
      await harness.time.advance(100);
      gone.abort();
      const before = await harness.time.until(first);
      expect(harness.gates.cancelled).toEqual([]);
      expect([harness.owner.inProgress(), textOf(before)]).toEqual([0, ANSWER[0]!]);
      const other = harness.newOwner('gate-daemon');
      const id = lastEventId(before);
      const foreign = await collect(other.resume('punkt.agents', id, 1_000, STAYS));
      const forged = await collect(other.resume('litoral.showroom', `${id}A`, 1_000, STAYS));
      expect(endsOf([...foreign, ...forged])).toEqual(['cannot_resume', 'cannot_resume']);
      const own = other.resume('litoral.showroom', id, 1_000, STAYS);
      const after = await harness.time.until(collect(own));
      expect(textOf(after)).toEqual(ANSWER.slice(1).join(''));
      expect(endsOf(after)).toEqual(['completed']);
      expect(harness.runners.runsOf('request')).toEqual(1);
      other.stop();
    }),
  );

  // Symptom: a slow caller's answer fills the daemon's memory.
  // Sequence: the runner generates faster than the caller reads.
  // Cause: the gate's stream is read without regard to what the caller has taken.
  it(
    'reads no further than a slow caller’s bound',
    withHarness(
      async (harness) => {
        let sent = 0;
        harness.gates.follow(async function* endless(attempt) {
          attempt.run();
          yield attempt.head();
          while (sent < 100) {
            sent += 1;
            const data = Buffer.alloc(1_024);
            const { attemptId } = attempt.request;
            yield gateEvent('chunk', { attemptId, sequence: sent, data });
          }
        });
        const reader = harness.owner.run(requestOf(), STAYS);
        await harness.time.until(reader.next());
        await harness.time.advance(1_000);
        expect(sent <= 8).toEqual(true);
        await harness.time.until(reader.next());
        await harness.time.advance(100);
        expect(sent <= 9).toEqual(true);
        await reader.return(undefined);
      },
      { maximumBufferedBytes: 8_192 },
    ),
  );
});

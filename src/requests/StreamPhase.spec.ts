import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import { StreamPhase } from './StreamPhase.js';
import type { CallerEvent } from './requestTypes.js';
import type { GateScript } from './testGates.js';
import { collect, endsOf, requestOf, textOf } from './testFakes.js';
import { ANSWER_CHUNKS, gateEvent } from './testGates.js';
import { NEVER_ABORTED, withHarness } from './testHarness.js';

/** A gate that sends the given events and then closes the connection. */
function sendingThenCut(
  eventsOf: (attempt: Parameters<GateScript>[0]) => ExecuteEvent[],
): GateScript {
  return async function* script(attempt) {
    attempt.run();
    yield* eventsOf(attempt);
  };
}

function crossedEnd(): ExecuteEvent {
  return gateEvent('completed', { attemptId: 'other', lastSequence: 0 });
}

function lastEventId(events: readonly CallerEvent[]): string {
  const last = events.findLast((event) => event.kind === 'chunk');
  if (last?.kind !== 'chunk') throw new Error('expected a chunk event');
  return last.eventId;
}

describe(StreamPhase.name, () => {
  const streams: [string, GateScript, number][] = [
    [
      'whole',
      sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(3), a.completed()]),
      0,
    ],
    [
      'doubled chunk',
      sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(1), a.chunk(2), a.chunk(3)]),
      1,
    ],
    [
      'late chunk',
      sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(1), a.chunk(3)]),
      1,
    ],
    ['missing chunk', sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(3), a.completed()]), 1],
    ['missing tail', sendingThenCut((a) => [a.head(), a.chunk(1), a.completed(3)]), 1],
    [
      'end before the end',
      sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(2), a.completed(1)]),
      1,
    ],
    [
      'crossed chunk',
      sendingThenCut((a) => [a.head(), a.chunk(1, 'other'), a.chunk(1), a.chunk(2)]),
      1,
    ],
    ['crossed end', sendingThenCut((a) => [a.head(), crossedEnd(), a.chunk(1)]), 1],
    ['chunk before the head', sendingThenCut((a) => [a.chunk(1), a.head(), a.chunk(1)]), 1],
    ['no end', sendingThenCut((a) => [a.head(), a.chunk(1), a.chunk(2), a.chunk(3)]), 1],
  ];

  for (const [name, script, resumes] of streams) {
    // Guards against a caller that gets a word twice, misses one, gets a part of another answer,
    // or a partial answer as if it were complete. Here the stream from the gate has the named
    // fault. It happens if chunks are passed on by arrival instead of attempt and number, or if
    // any `completed` event ends the answer.
    it(
      `gives each chunk once and in order: ${name}`,
      withHarness(async (harness) => {
        harness.gates.setScripts(script);
        const events = await harness.run(requestOf());
        expect(endsOf(events)).toEqual(['completed']);
        expect(textOf(events)).toEqual(ANSWER_CHUNKS.join(''));
        expect(harness.gates.resumed.length).toEqual(resumes);
        expect(harness.runners.runsOf('request')).toEqual(1);
      }),
    );
  }

  // Guards against a stream that ends because its daemon died, although its runner continues.
  // Here the gate's daemon dies, and for some seconds no daemon, or the wrong one, holds the
  // gate. It happens if one refused resume is taken for the end, or for "not run" although the
  // runner was working.
  it(
    'resumes repeatedly while the gate moves, with growing pauses',
    withHarness(async (harness) => {
      const moving = gateEvent('refused', { reason: 'gate_not_here' });
      harness.gates.setScripts(sendingThenCut((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(new Error('reset'), moving, moving, moving, moving);
      const start = harness.time.clock.monotonicMilliseconds();
      const events = await harness.run(requestOf());
      const duration = harness.time.clock.monotonicMilliseconds() - start;
      expect(endsOf(events)).toEqual(['completed']);
      expect(textOf(events)).toEqual(ANSWER_CHUNKS.join(''));
      expect(harness.gates.resumed.map(({ afterSequence }) => afterSequence)).toEqual(
        Array.from({ length: 6 }, () => 1),
      );
      // Pauses of 50 + 100 + 200 + 400 + 800 ms.
      expect(duration >= 1_550 && duration < 1_700).toEqual(true);
    }),
  );

  // Guards against a caller that resumes its stream again and again and is told each time to
  // retry. Here the stream is cut, and by the time it is resumed its runner has dropped the
  // attempt. It happens if the gate's "cannot resume" is passed on as another cut.
  it(
    'reports that the rest is lost when the runner has dropped the attempt',
    withHarness(async (harness) => {
      const gone = { attemptId: 'any', code: 'cannot_resume', resumable: false };
      harness.gates.setScripts(sendingThenCut((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(gateEvent('failed', gone));
      const events = await harness.run(requestOf());
      expect(events.at(-1)).toEqual(
        expect.subset({ kind: 'failed', code: 'stream_cut', notRun: false, resumable: false }),
      );
      harness.gates.failResumes(gateEvent('failed', gone));
      const id = lastEventId(events);
      const resumed = harness.owner.resume('litoral.showroom', id, 1_000, NEVER_ABORTED);
      expect(endsOf(await harness.time.until(collect(resumed)))).toEqual(['cannot_resume']);
    }),
  );

  it(
    'gives up a stream that no gate can resume, with an explicit failure',
    withHarness(async (harness) => {
      harness.gates.setScripts(sendingThenCut((attempt) => [attempt.head(), attempt.chunk(1)]));
      harness.gates.failResumes(...Array.from({ length: 100 }, () => new Error('reset')));
      const events = await harness.run(requestOf({ deadlineMilliseconds: 60_000 }));
      expect(events.at(-1)).toEqual(
        expect.subset({ kind: 'failed', code: 'stream_cut', notRun: false, resumable: true }),
      );
      expect(harness.gates.resumed.length).toEqual(12);
      expect(harness.time.clock.monotonicMilliseconds() < 20_000).toEqual(true);
    }),
  );

  // Guards against a stream that moves back and forth between two connections of one caller, so
  // that neither makes progress. Here the caller resumes through another daemon while the first
  // daemon still holds a half-open connection. It happens if the first owner takes the takeover
  // for a cut and resumes, and the second one then does the same.
  it(
    'does not resume a stream that another reader took over',
    withHarness(async (harness) => {
      const takenOver = { code: 'stream_cut', message: 'taken over', resumable: false };
      harness.gates.setScripts(
        sendingThenCut((a) => [a.head(), a.chunk(1), gateEvent('failed', { ...takenOver })]),
      );
      const events = await harness.run(requestOf());
      expect(endsOf(events)).toEqual(['stream_cut']);
      expect([harness.gates.resumed.length, harness.gates.executed.length]).toEqual([0, 1]);
    }),
  );

  // Guards against a caller that resumes after a broken connection and gets the full answer
  // again, or the answer of another caller. Here the caller disconnects after the first chunk and
  // resumes with Last-Event-ID through another daemon. It happens if the attempt is cancelled
  // with its connection, or if the event id does not identify the owner of the stream.
  it(
    'lets only the stream’s own account resume it through another daemon',
    withHarness(async (harness) => {
      const gone = new AbortController();
      harness.gates.setScripts(async function* waits(attempt) {
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
      expect([harness.owner.inProgress(), textOf(before)]).toEqual([0, ANSWER_CHUNKS[0]!]);
      const other = harness.newOwner('gate-daemon');
      const id = lastEventId(before);
      const foreign = await collect(other.resume('punkt.agents', id, 1_000, NEVER_ABORTED));
      const forged = await collect(
        other.resume('litoral.showroom', `${id}A`, 1_000, NEVER_ABORTED),
      );
      expect(endsOf([...foreign, ...forged])).toEqual(['cannot_resume', 'cannot_resume']);
      const own = other.resume('litoral.showroom', id, 1_000, NEVER_ABORTED);
      const after = await harness.time.until(collect(own));
      expect(textOf(after)).toEqual(ANSWER_CHUNKS.slice(1).join(''));
      expect(endsOf(after)).toEqual(['completed']);
      expect(harness.runners.runsOf('request')).toEqual(1);
      other.stop();
    }),
  );

  // Guards against the answer of a slow caller that fills the daemon's memory. Here the runner
  // generates faster than the caller reads. It happens if the gate's stream is read regardless of
  // what the caller has read.
  it(
    'stops reading at the buffer limit of a slow caller',
    withHarness(
      async (harness) => {
        let sent = 0;
        harness.gates.setScripts(async function* endless(attempt) {
          attempt.run();
          yield attempt.head();
          while (sent < 100) {
            sent += 1;
            const data = Buffer.alloc(1_024);
            const { attemptId } = attempt.request;
            yield gateEvent('chunk', { attemptId, sequence: sent, data });
          }
        });
        const reader = harness.owner.run(requestOf(), NEVER_ABORTED);
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

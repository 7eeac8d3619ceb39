import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import type { RefusalReason } from '../gates/gateTypes.js';
import { AttemptPhase } from './AttemptPhase.js';
import type { OutcomeCode } from './requestTypes.js';
import type { GateScript } from './testGates.js';
import { collect, endsOf, requestOf } from './testFakes.js';
import { withoutEvents } from './testGates.js';
import { NEVER_ABORTED, withHarness } from './testHarness.js';

const NO_RETRIES = { retryRatio: 0, retryBurst: 0 };
const FROZEN = withoutEvents((attempt) => attempt.freeze());

const LOST = withoutEvents(async () => {
  throw new Error('reset');
});

function refusing(reason: RefusalReason): GateScript {
  return async function* script(attempt) {
    yield attempt.refused(reason, 700);
  };
}

describe(AttemptPhase.name, () => {
  const refusals: [RefusalReason, OutcomeCode, number][] = [
    ['above_bound', 'overloaded', 5],
    ['queue_full', 'overloaded', 1],
    ['deadline_unreachable', 'deadline_exceeded', 1],
    ['account_limit', 'account_limit', 1],
    ['runner_leaving', 'not_run', 1],
    ['runner_down', 'not_run', 1],
    ['gate_not_here', 'not_run', 1],
    ['gate_opening', 'not_run', 1],
    ['draining', 'not_run', 1],
    ['runner_refused', 'not_run', 1],
    ['cancelled', 'cancelled', 1],
  ];
  for (const [reason, code, attempts] of refusals) {
    it(
      `answers refusal ${reason} with ${code} immediately`,
      withHarness(async (harness) => {
        harness.gates.setScripts(...Array.from({ length: 9 }, () => refusing(reason)));
        const events = await harness.run(requestOf({ deadlineMilliseconds: 60_000 }));
        const retryAfter = code === 'cancelled' ? {} : { retryAfterMilliseconds: 700 };
        expect(events).toEqual([
          expect.subset({ kind: 'failed', code, notRun: true, ...retryAfter }),
        ]);
        expect(harness.gates.executed.length).toEqual(attempts);
        expect(harness.time.clock.monotonicMilliseconds()).toEqual(0);
      }, NO_RETRIES),
    );
  }

  // Guards against retries that amplify a failure: a failing pool gets several times its traffic
  // and can't recover. Here every attempt of every request is lost, for two accounts on one pool.
  // It happens if each request retries regardless of the retries of other requests.
  it('sends no more than (1 + ratio) × requests + burst when everything fails', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(0, 0.1, 0.2, 0.5),
        fc.integer({ min: 0, max: 5 }),
        fc.array(fc.constantFrom('litoral.showroom', 'litoral.warehouse'), { maxLength: 60 }),
        (retryRatio, retryBurst, accounts) =>
          withHarness(
            async (harness) => {
              const { gates } = harness;
              gates.setScripts(...Array.from({ length: 500 }, () => LOST));
              for (const clientAccount of accounts) await harness.run(requestOf({ clientAccount }));
              const most = (1 + retryRatio) * accounts.length + retryBurst;
              expect(gates.executed.length <= most).toEqual(true);
              expect(gates.executed.length >= accounts.length).toEqual(true);
              for (const account of new Set(accounts)) {
                const own = accounts.filter((name) => name === account).length;
                const sent = gates.executed.filter((one) => one.clientAccount === account);
                expect(sent.length <= (1 + retryRatio) * own + retryBurst).toEqual(true);
              }
            },
            { retryRatio, retryBurst },
          )(),
      ),
      { seed: 4, numRuns: 40 },
    );
  });

  it(
    'does not report "not run" after an attempt was lost',
    withHarness(
      async (harness) => {
        harness.gates.setScripts(LOST, refusing('runner_down'));
        const [failure] = await harness.run(requestOf());
        expect(failure).toEqual(expect.subset({ code: 'upstream_error', notRun: false }));
      },
      { maximumAttempts: 2 },
    ),
  );

  // Guards against an urgent request that waits for an unresponsive gate until its deadline. Here
  // the first gate takes the request and sends no event, and a hedge goes to another runner. The
  // attempt that loses is cancelled, and the hedge takes from the retry budget like a retry.
  it(
    'hedges an unresponsive attempt once, and cancels the attempt that loses',
    withHarness(
      async (harness) => {
        harness.gates.setScripts(FROZEN);
        const events = await harness.run(requestOf());
        expect(endsOf(events)).toEqual(['completed']);
        const [first, second] = harness.gates.executed;
        expect([first?.runnerId, second?.runnerId]).toEqual(['runner-1', 'runner-2']);
        expect(harness.gates.cancelled.map(({ attemptId }) => attemptId)).toEqual([
          first!.attemptId,
        ]);
        expect(harness.time.clock.monotonicMilliseconds() < 300).toEqual(true);
        harness.gates.setScripts(FROZEN, FROZEN);
        const late = await harness.run(requestOf({ deadlineMilliseconds: 1_000 }));
        // The only retry of the burst is spent, so the request is not hedged.
        expect([endsOf(late), harness.gates.executed.length]).toEqual([['deadline_exceeded'], 3]);
      },
      { hedgeAfterMilliseconds: 200, retryRatio: 0, retryBurst: 1 },
    ),
  );

  it(
    'passes on the deadline, reduced by the time spent and the hop reserve',
    withHarness(async (harness) => {
      harness.homes.freeze();
      harness.gates.setScripts(refusing('above_bound'));
      await harness.run(requestOf({ deadlineMilliseconds: 5_000 }));
      const passedOn = harness.gates.executed.map((attempt) => attempt.deadlineMilliseconds);
      expect(passedOn).toEqual([4_940, 4_940]);
    }),
  );

  it(
    'ends at the deadline and cancels the open attempt',
    withHarness(async (harness) => {
      harness.gates.setScripts(FROZEN);
      const events = await harness.run(requestOf({ deadlineMilliseconds: 1_000 }));
      expect(events).toEqual([expect.subset({ code: 'deadline_exceeded', notRun: false })]);
      expect(harness.gates.cancelled.length).toEqual(1);
    }),
  );

  // Guards against a cancelled request that keeps its runner busy. Here the caller cancels by
  // request id, or its connection ends before the answer starts. It happens if only the owner
  // drops the request.
  it(
    'passes a cancellation on to the gate, for the request’s own account only',
    withHarness(async (harness) => {
      const { owner, gates, time } = harness;
      gates.setScripts(FROZEN, FROZEN);
      const cancelled = collect(owner.run(requestOf(), NEVER_ABORTED));
      await time.advance(20);
      expect(await owner.cancel('punkt.agents', 'request-1')).toEqual(false);
      expect(await owner.cancel('litoral.showroom', 'request-1')).toEqual(true);
      expect(endsOf(await time.until(cancelled))).toEqual(['cancelled']);
      expect(await owner.cancel('litoral.showroom', 'request-1')).toEqual(false);
      const gone = new AbortController();
      const left = collect(owner.run(requestOf(), gone.signal));
      await time.advance(20);
      gone.abort();
      expect(endsOf(await time.until(left))).toEqual(['cancelled']);
      const attempts = gates.executed.map(({ attemptId }) => attemptId);
      expect(gates.cancelled.map(({ attemptId }) => attemptId)).toEqual(attempts);
    }),
  );
});

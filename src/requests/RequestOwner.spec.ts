import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import { RequestOwner } from './RequestOwner.js';
import type { FakeAttempt, GateScript } from './testGates.js';
import { endsOf, requestOf, textOf } from './testFakes.js';
import { ANSWER_CHUNKS } from './testGates.js';
import type { Harness } from './testHarness.js';
import { withHarness } from './testHarness.js';

type Fault = 'kill' | 'cut' | 'freeze' | 'late';
type Step = 'home' | 'gate' | 'queued' | 'running' | 'head' | 'stream' | 'end';

/** A gate that works up to a step, at which the fault is applied. */
function scriptOf(step: Step, applyFault: (attempt: FakeAttempt) => Promise<void>): GateScript {
  return async function* script(attempt): AsyncGenerator<ExecuteEvent> {
    if (step === 'gate') await applyFault(attempt);
    if (step === 'queued') await attempt.wait(100);
    if (step === 'queued') await applyFault(attempt);
    attempt.run();
    if (step === 'running') await applyFault(attempt);
    yield attempt.head();
    if (step === 'head') await applyFault(attempt);
    for (const [index] of ANSWER_CHUNKS.entries()) {
      yield attempt.chunk(index + 1);
      if (step === 'stream' && index === 0) await applyFault(attempt);
    }
    if (step === 'end') await applyFault(attempt);
    yield attempt.completed();
  };
}

const FAULT_ACTIONS: Record<Fault, (attempt: FakeAttempt) => Promise<void>> = {
  kill: async (attempt) => {
    attempt.dropAtRunner();
    throw new Error('connection reset');
  },
  cut: async () => {
    throw new Error('connection reset');
  },
  freeze: (attempt) => attempt.freeze(),
  late: (attempt) => attempt.wait(800),
};

function inject(harness: Harness, step: Step, fault: Fault): void {
  if (step === 'home') harness.homes.freeze();
  else harness.gates.setScripts(scriptOf(step, FAULT_ACTIONS[fault]));
  if (fault === 'freeze') harness.declareGateDaemonDead(3_000);
}

describe(RequestOwner.name, () => {
  /**
   * Step, fault, and then the end and the number of runs, first for idempotent and then for
   * non-idempotent requests.
   */
  const faults: [Step, Fault, string, number, string, number][] = [
    ['home', 'freeze', 'completed', 1, 'completed', 1],
    ['gate', 'kill', 'completed', 1, 'outcome_unknown', 0],
    ['gate', 'cut', 'completed', 1, 'outcome_unknown', 0],
    ['gate', 'freeze', 'completed', 1, 'outcome_unknown', 0],
    ['gate', 'late', 'completed', 1, 'completed', 1],
    ['queued', 'kill', 'completed', 1, 'outcome_unknown', 0],
    ['queued', 'cut', 'completed', 1, 'outcome_unknown', 0],
    ['queued', 'freeze', 'completed', 1, 'outcome_unknown', 0],
    ['queued', 'late', 'completed', 1, 'completed', 1],
    ['running', 'kill', 'completed', 2, 'outcome_unknown', 1],
    ['running', 'cut', 'completed', 2, 'completed', 1],
    ['running', 'freeze', 'completed', 2, 'completed', 1],
    ['running', 'late', 'completed', 1, 'completed', 1],
    ['head', 'kill', 'completed', 2, 'outcome_unknown', 1],
    ['head', 'cut', 'completed', 1, 'completed', 1],
    ['head', 'freeze', 'completed', 1, 'completed', 1],
    ['head', 'late', 'completed', 1, 'completed', 1],
    ['stream', 'kill', 'stream_cut', 1, 'stream_cut', 1],
    ['stream', 'cut', 'completed', 1, 'completed', 1],
    ['stream', 'freeze', 'completed', 1, 'completed', 1],
    ['stream', 'late', 'completed', 1, 'completed', 1],
    ['end', 'kill', 'stream_cut', 1, 'stream_cut', 1],
    ['end', 'cut', 'completed', 1, 'completed', 1],
    ['end', 'freeze', 'completed', 1, 'completed', 1],
    ['end', 'late', 'completed', 1, 'completed', 1],
  ];
  for (const [step, fault, idempotentEnd, idempotentRuns, boundEnd, boundRuns] of faults) {
    // Guards against an answer that is missing, doubled or cut without an error, and against a
    // reservation that is made twice. Here the daemon of the gate is killed, cut off, frozen or
    // late at this step of a request. It happens if a missing event is taken for the end of the
    // answer, or a lost answer for a request that did not run.
    it(
      `idempotent, ${fault} at ${step}: ${idempotentEnd}`,
      withHarness(async (harness) => {
        inject(harness, step, fault);
        const events = await harness.run(requestOf());
        expect(endsOf(events)).toEqual([idempotentEnd]);
        expect(harness.runners.runsOf('request')).toEqual(idempotentRuns);
        if (idempotentEnd === 'completed') expect(textOf(events)).toEqual(ANSWER_CHUNKS.join(''));
        expect(harness.owner.inProgress()).toEqual(0);
      }),
    );

    it(
      `not idempotent, ${fault} at ${step}: ${boundEnd}, and the same for a repeat`,
      withHarness(async (harness) => {
        const request = await harness.bind(requestOf({ idempotent: false }));
        inject(harness, step, fault);
        const events = await harness.run(request);
        expect(endsOf(events)).toEqual([boundEnd]);
        expect(harness.runners.runsOf('request')).toEqual(boundRuns);
        if (boundEnd === 'completed') expect(textOf(events)).toEqual(ANSWER_CHUNKS.join(''));
        expect(await harness.run(request)).toEqual(events);
        expect(harness.runners.runsOf('request')).toEqual(boundRuns);
      }),
    );
  }
});

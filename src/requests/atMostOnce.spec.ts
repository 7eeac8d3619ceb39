import { describe, it, mock } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { endsOf, textOf } from './testFakes.js';
import type { Operation } from './testFleet.js';
import { DAEMONS, GATE_FAULTS, LINK_FAULTS, RESUME_FAULTS, FleetSimulation } from './testFleet.js';
import { ANSWER_CHUNKS } from './testGates.js';

const SEED = 20_261_202;
const RUNS = 200;

const daemon = fc.nat({ max: DAEMONS.length - 1 });
const operation: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      binding: daemon,
      daemon,
      deadlineMilliseconds: fc.constantFrom(200, 2_000, 20_000),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(25, 100, 800, 3_000, 130_000),
    }),
  },
  fc.record({
    kind: fc.constant('pause' as const),
    milliseconds: fc.constantFrom(500, 5_000, 130_000),
  }),
  fc.record({ kind: fc.constant('restart' as const), daemon }),
  fc.record({
    kind: fc.constant('declare' as const),
    daemon,
    state: fc.constantFrom('alive', 'dead', 'leaving'),
  }),
);

describe('at most once', () => {
  // Guards against a board that is reserved twice, or reserved after its caller was told "not
  // run". Here a caller repeats a bound request through several daemons at once while links lose,
  // double and delay messages, answers get lost, gates die, and daemons restart, pause and are
  // wrongly declared dead. It happens if any part takes a lost answer for a request that did not
  // run, or drops the record of one that may have run.
  it('holds in every generated sequence of operations and faults', async () => {
    const gateFaultNames = Object.keys(GATE_FAULTS) as (keyof typeof GATE_FAULTS)[];
    const resumeFaultNames = Object.keys(RESUME_FAULTS) as (keyof typeof RESUME_FAULTS)[];
    await fc.assert(
      fc.asyncProperty(
        fc.array(operation, { minLength: 2, maxLength: 14 }),
        fc.record({
          linkFaults: fc.array(fc.constantFrom(...LINK_FAULTS), { maxLength: 8 }),
          gateFaults: fc.array(fc.constantFrom(...gateFaultNames), { maxLength: 5 }),
          resumeFaults: fc.array(fc.constantFrom(...resumeFaultNames), { maxLength: 4 }),
        }),
        async (operations, faults) => {
          const world = new FleetSimulation(faults);
          try {
            await world.play(operations);
            const answers = await world.answers();
            for (const { binding, events } of answers) {
              const runs = world.runners.runsOf(`binding-${binding}`);
              const last = events.at(-1);
              expect(endsOf(events).length).toEqual(1);
              if (last?.kind === 'failed' && last.notRun) expect(runs).toEqual(0);
              if (last?.kind !== 'completed') continue;
              expect([runs, textOf(events)]).toEqual([1, ANSWER_CHUNKS.join('')]);
            }
            for (const runs of world.runners.runs.values()) expect(runs).toEqual(1);
          } finally {
            mock.timers.reset();
          }
        },
      ),
      { seed: SEED, numRuns: RUNS, endOnFailure: false },
    );
  });
});

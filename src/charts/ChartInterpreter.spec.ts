import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';
import { createMachine, getNextSnapshot } from 'xstate';

import { ChartInterpreter } from './ChartInterpreter.js';
import type { ChartDefinition, EventOf, StateOf } from './chartTypes.js';

const DOOR = {
  id: 'door',
  initial: 'closed',
  states: {
    closed: { on: { open: 'opened', lock: { target: 'locked', description: 'By key.' } } },
    opened: { on: { close: 'closed', open: 'opened' } },
    locked: { on: { unlock: 'closed', remove: 'removed' } },
    removed: { type: 'final' },
  },
} as const;

type DoorState = StateOf<typeof DOOR>;
type DoorEvent = EventOf<typeof DOOR>;

const STATES: DoorState[] = ['closed', 'opened', 'locked', 'removed'];
const EVENTS: DoorEvent[] = ['open', 'close', 'lock', 'unlock', 'remove'];

function door(): ChartInterpreter<DoorState, DoorEvent> {
  return new ChartInterpreter<DoorState, DoorEvent>({ chart: DOOR });
}

describe(ChartInterpreter.name, () => {
  it('returns the same as xstate for every pair of state and event', () => {
    const machine = createMachine(DOOR as unknown as Parameters<typeof createMachine>[0]);
    const interpreter = door();
    for (const state of STATES) {
      for (const event of EVENTS) {
        const before = machine.resolveState({ value: state });
        const after = getNextSnapshot(machine, before, { type: event });
        expect(interpreter.next(state, event)).toEqual({
          state: after.value as DoorState,
          accepted: before.can({ type: event }),
        });
      }
    }
  });

  it('stays in a final state after any events', () => {
    const interpreter = door();
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...EVENTS)), (events) => {
        let state: DoorState = 'removed';
        for (const event of events) state = interpreter.next(state, event).state;
        expect(state).toEqual('removed');
      }),
    );
    expect(interpreter.initial()).toEqual('closed');
    expect(interpreter.isFinal('removed')).toEqual(true);
    expect(interpreter.acceptedEvents('locked')).toEqual(['unlock', 'remove']);
  });

  it('reports an event that the state does not accept, and keeps the state', () => {
    // Guards against a leaving runner that gets requests again: a message that it has come back arrives late,
    // after the one that it leaves, and is applied as if the state had not changed.
    expect(door().next('locked', 'open')).toEqual({ state: 'locked', accepted: false });
  });

  const faults: [string, ChartDefinition, string][] = [
    ['a missing initial state', { id: 'x', initial: 'b', states: { a: {} } }, 'initial state b'],
    [
      'a missing target',
      { id: 'x', initial: 'a', states: { a: { on: { go: 'b' } } } },
      'missing state b',
    ],
    [
      'a timer',
      { id: 'x', initial: 'a', states: { a: { after: { 5: 'a' } } as object } },
      'state a has after',
    ],
    [
      'a guard',
      {
        id: 'x',
        initial: 'a',
        states: { a: { on: { go: { target: 'a', guard: 'g' } as never } } },
      },
      'has guard',
    ],
    ['a wildcard', { id: 'x', initial: 'a', states: { a: { on: { '*': 'a' } } } }, 'wildcard'],
  ];
  for (const [name, chart, message] of faults) {
    it(`rejects ${name}`, () => {
      expect(() => new ChartInterpreter({ chart })).toThrow(message);
    });
  }
});

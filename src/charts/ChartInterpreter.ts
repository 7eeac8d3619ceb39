/**
 * Interprets state charts from `*.chart.json` files.
 *
 * The semantics are those of xstate. When a chart is loaded, xstate's pure transition function is called once for every
 * transition of every state, and the results are stored in a table: a transition through xstate takes tens of µs, a table
 * look-up well under 1 µs.
 */
import { createMachine, getInitialSnapshot, getNextSnapshot } from 'xstate';
import type { AnyMachineSnapshot, AnyStateMachine } from 'xstate';

import type { ChartDefinition, TransitionResult } from './chartTypes.js';

/**
 * Allowed keys of a state in a chart file. Timers, guards and actions are not allowed; they belong in the code that
 * uses the chart.
 */
const STATE_KEYS: ReadonlySet<string> = new Set(['type', 'description', 'on']);

/** Allowed keys of a transition in a chart file. */
const TRANSITION_KEYS: ReadonlySet<string> = new Set(['target', 'description']);

function compileState<State extends string, Event extends string>(
  machine: AnyStateMachine,
  chart: ChartDefinition<State, Event>,
  state: State,
): ReadonlyMap<Event, TransitionResult<State>> {
  const before = machine.resolveState({ value: state, context: {} }) as AnyMachineSnapshot;
  const events = Object.keys(chart.states[state].on ?? {}) as Event[];
  return new Map(
    events.map((event) => {
      const after = getNextSnapshot(machine, before, { type: event });
      return [event, Object.freeze({ state: after.value as State, accepted: true })];
    }),
  );
}

/**
 * Rejects chart features that the transition table cannot represent. xstate would apply them, but the table would
 * ignore them silently.
 */
function assertFlatChart(chart: ChartDefinition): void {
  const states = Object.keys(chart.states);
  const refuse = (what: string): never => {
    throw new Error(`chart ${chart.id}: ${what}`);
  };
  if (!states.includes(chart.initial)) refuse(`the initial state ${chart.initial} does not exist`);
  for (const [name, state] of Object.entries(chart.states)) {
    const extra = Object.keys(state).find((key) => !STATE_KEYS.has(key));
    if (extra)
      refuse(`state ${name} has ${extra}; a flat chart allows only type, description and on`);
    const transitions = Object.entries(state.on ?? {});
    if (state.type === 'final' && transitions.length > 0) refuse(`final state ${name} has events`);
    for (const [event, transition] of transitions) {
      if (event.includes('*')) refuse(`state ${name} has a wildcard; list each event by name`);
      if (transition === undefined) continue;
      const target = typeof transition === 'string' ? transition : transition.target;
      if (!states.includes(target))
        refuse(`${name} on ${event} leads to a missing state ${target}`);
      const surplus = typeof transition === 'string' ? [] : Object.keys(transition);
      const unknown = surplus.find((key) => !TRANSITION_KEYS.has(key));
      if (unknown)
        refuse(
          `${name} on ${event} has ${unknown}; a flat chart allows only target and description`,
        );
    }
  }
}

/** Options of {@link ChartInterpreter}. */
export interface ChartInterpreterOptions<State extends string, Event extends string> {
  /** The imported chart file. */
  chart: ChartDefinition<State, Event>;
}

/**
 * Interprets one chart. It holds no current state, so that all objects with the same chart share one interpreter.
 *
 * @example
 * ```ts
 * import chart from './runner.chart.json' with { type: 'json' };
 *
 * const interpreter = new ChartInterpreter<RunnerState, RunnerEvent>({ chart });
 * const { state, accepted } = interpreter.next('live', 'leave');
 * ```
 */
export class ChartInterpreter<State extends string, Event extends string> {
  /** The chart's name. */
  readonly id: string;

  private readonly initialState: State;

  private readonly finalStates: ReadonlySet<State>;

  private readonly table: ReadonlyMap<State, ReadonlyMap<Event, TransitionResult<State>>>;

  /** Result for each state of an event that it does not accept. */
  private readonly rejectedSteps: ReadonlyMap<State, TransitionResult<State>>;

  /**
   * @param options - the chart.
   * @throws {@link Error} when the chart refers to a missing state or uses a feature that a flat chart does not allow.
   */
  constructor({ chart }: ChartInterpreterOptions<State, Event>) {
    assertFlatChart(chart);
    const machine = createMachine(chart as Parameters<typeof createMachine>[0]);
    const states = Object.keys(chart.states) as State[];
    this.id = chart.id;
    this.initialState = getInitialSnapshot(machine).value as State;
    this.finalStates = new Set(states.filter((state) => chart.states[state].type === 'final'));
    this.rejectedSteps = new Map(
      states.map((state) => [state, Object.freeze({ state, accepted: false })]),
    );
    this.table = new Map(
      states.map((state) => [state, compileState<State, Event>(machine, chart, state)]),
    );
  }

  /** @returns The initial state of the chart. */
  initial(): State {
    return this.initialState;
  }

  /** @returns All states, in the order of the file. */
  states(): State[] {
    return [...this.table.keys()];
  }

  /**
   * Applies one event to a state. An event that the state does not accept leaves the state unchanged and is no error,
   * because late, duplicate and reordered messages are expected in normal operation.
   *
   * @param state - state before the event.
   * @param event - event to apply.
   * @returns The state after the event, and whether the event was accepted.
   * @throws {@link RangeError} when the chart has no such state, which is a programming error of the caller.
   */
  next(state: State, event: Event): TransitionResult<State> {
    const step = this.table.get(state)?.get(event) ?? this.rejectedSteps.get(state);
    if (!step) throw new RangeError(`chart ${this.id} has no state ${state}`);
    return step;
  }

  /**
   * @param state - a state.
   * @param event - an event.
   * @returns Whether the state accepts the event.
   */
  accepts(state: State, event: Event): boolean {
    return this.next(state, event).accepted;
  }

  /**
   * @param state - a state.
   * @returns The events that the state accepts.
   */
  acceptedEvents(state: State): Event[] {
    return [...(this.table.get(state)?.keys() ?? [])];
  }

  /**
   * @param state - a state.
   * @returns Whether the state is final, that is has no outgoing transitions.
   */
  isFinal(state: State): boolean {
    return this.finalStates.has(state);
  }
}

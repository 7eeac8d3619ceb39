/**
 * Types of a `*.chart.json` file: a flat state chart (no nested states) in the notation of xstate.
 */

/** A transition in a chart file: the name of the next state, alone or with a description. */
export type ChartTransition = string | { readonly target: string; readonly description?: string };

/** One state of a chart. */
export interface ChartState<Event extends string = string> {
  /** `final` for a state without outgoing transitions; absent otherwise. */
  readonly type?: string;
  readonly description?: string;
  readonly on?: Readonly<Partial<Record<Event, ChartTransition>>>;
}

/** A whole chart. */
export interface ChartDefinition<State extends string = string, Event extends string = string> {
  readonly id: string;
  readonly initial: string;
  readonly description?: string;
  readonly states: Readonly<Record<State, ChartState<Event>>>;
}

/** Union of the state names of an imported chart file. */
export type StateOf<Chart extends { readonly states: object }> = keyof Chart['states'] & string;

type EventsOfState<State> = State extends { readonly on: infer On } ? keyof On & string : never;

/** Union of the event names of an imported chart file. */
export type EventOf<Chart extends { readonly states: object }> = {
  [State in keyof Chart['states']]: EventsOfState<Chart['states'][State]>;
}[keyof Chart['states']];

/** Result of applying one event to a state. */
export interface TransitionResult<State extends string> {
  /** State after the event; unchanged if the event was not accepted. */
  readonly state: State;
  /** Whether the chart has a transition for the event from the state before it. */
  readonly accepted: boolean;
}

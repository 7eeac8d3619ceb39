/**
 * Replays a recorded session with the decision classes of the daemon, and compares the actions.
 */
import VError from 'verror';

import type { HasKind } from '../decisions/Decisions.js';
import type { ReplayedDecisions } from './replayRegistry.js';
import { formatStep } from './session.js';
import type { Session, SessionStep } from './session.js';

/** One step as recorded, and the actions of the replay. */
export interface ReplayedStep {
  readonly recorded: SessionStep;
  readonly actions: readonly HasKind[];
  /** The line of the session as this replay would write it. */
  readonly text: string;
}

/** The first difference between a session and its replay. */
export interface ReplayDifference {
  /** Line number, starting at 1. */
  readonly line: number;
  readonly message: string;
}

/**
 * Replays all steps.
 *
 * @param session - the recorded session.
 * @param decisions - a new instance of the session's decision class.
 * @returns The replayed steps.
 * @throws {@link VError} with the line number if the decision class throws.
 */
export function replaySession(session: Session, decisions: ReplayedDecisions): ReplayedStep[] {
  return session.steps.map((recorded) => {
    const { at, message } = recorded.step;
    try {
      // Converted to JSON and back, since the recorded actions lack what JSON cannot represent.
      const actions = JSON.parse(JSON.stringify(decisions.decide(at, message))) as HasKind[];
      return { recorded, actions, text: formatStep({ at, message, actions }) };
    } catch (cause) {
      throw new VError(cause as Error, `line ${recorded.line}: the decisions failed`);
    }
  });
}

function describe(actions: readonly HasKind[], index: number): string {
  const action = actions[index];
  return action === undefined ? 'nothing' : JSON.stringify(action);
}

/**
 * Finds the first step whose replay differs from the recording.
 *
 * @param steps - the replayed steps.
 * @returns The difference, or `undefined` if the session is identical byte for byte.
 */
export function firstDifference(steps: readonly ReplayedStep[]): ReplayDifference | undefined {
  const step = steps.find(({ recorded, text }) => recorded.text !== text);
  if (!step) return undefined;
  const { line } = step.recorded;
  const before = step.recorded.step.actions;
  const length = Math.max(before.length, step.actions.length);
  const position = Array.from({ length }, (_, index) => index).find(
    (index) => JSON.stringify(before[index]) !== JSON.stringify(step.actions[index]),
  );
  if (position === undefined) return { line, message: 'same actions, written in another form' };
  const was = describe(before, position);
  const is = describe(step.actions, position);
  return { line, message: `action ${position + 1} was recorded as ${was} and is now ${is}` };
}

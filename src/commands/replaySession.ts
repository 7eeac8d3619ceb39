/**
 * Runs a recorded session through the decisions that the daemon uses, and compares.
 */
import VError from 'verror';

import type { HasKind } from '../decisions/Decisions.js';
import type { ReplayedDecisions } from './replayRegistry.js';
import { formatStep } from './session.js';
import type { Session, SessionStep } from './session.js';

/** One step as it was recorded and as it came out now. */
export interface ReplayedStep {
  readonly recorded: SessionStep;
  readonly actions: readonly HasKind[];
  /** The line as it would be written now. */
  readonly text: string;
}

/** What differs first. */
export interface ReplayDifference {
  /** From 1. */
  readonly line: number;
  readonly message: string;
}

/**
 * Runs all steps.
 *
 * @param session - what was recorded.
 * @param decisions - new decisions of the session's feature.
 * @returns The steps as they came out now.
 * @throws {@link VError} with the line when the decisions throw.
 */
export function replaySession(session: Session, decisions: ReplayedDecisions): ReplayedStep[] {
  return session.steps.map((recorded) => {
    const { at, message } = recorded.step;
    try {
      // Through JSON and back, since the file cannot hold what JSON leaves out.
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
 * Finds the first step that came out otherwise than recorded.
 *
 * @param steps - as replayed.
 * @returns What differs, or `undefined` when the file is the same byte for byte.
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

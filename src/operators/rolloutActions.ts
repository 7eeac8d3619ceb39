/**
 * State changes of a roll-out by operators' actions: halt, resume and roll back.
 */
import { match } from 'ts-pattern';

import type { Rollout } from '../generated/baobabdock/v1/configuration_pb.js';

/** Actions that an operator can apply to a roll-out. */
export const ROLLOUT_ACTIONS = ['halt', 'resume', 'roll_back'] as const;

/** One of {@link ROLLOUT_ACTIONS}. */
export type RolloutAction = (typeof ROLLOUT_ACTIONS)[number];

function beginRollback(rollout: Rollout): Rollout {
  const { dataCentres, finishedDataCentres, resumesAs } = rollout;
  const back = { ...rollout, state: 'rolling_back', resumesAs: '' };
  if (resumesAs === 'rolling_back') return back;
  // The data centre in progress may have runners of both versions, so it is rolled back, too.
  const touched = dataCentres.slice(0, finishedDataCentres.length + 1);
  return { ...back, finishedDataCentres: touched };
}

/**
 * Applies an action to a roll-out.
 *
 * @param rollout - the current roll-out; not modified.
 * @param action - the operator's action.
 * @returns The roll-out after the action, or `undefined` if its state does not allow the action.
 */
export function applyRolloutAction(rollout: Rollout, action: RolloutAction): Rollout | undefined {
  return match([rollout.state, action] as const)
    .with(['running', 'halt'], ['rolling_back', 'halt'], ([state]) => ({
      ...rollout,
      state: 'halted',
      resumesAs: state,
    }))
    .with(['halted', 'resume'], () => ({
      ...rollout,
      state: rollout.resumesAs === 'rolling_back' ? 'rolling_back' : 'running',
      resumesAs: '',
    }))
    .with(['running', 'roll_back'], ['halted', 'roll_back'], ['finished', 'roll_back'], () =>
      beginRollback(rollout),
    )
    .otherwise(() => undefined);
}

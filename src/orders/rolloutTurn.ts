/**
 * Determines the wanted state of a pool in one data centre, and whether runners may be drained for it now.
 */
import { match } from 'ts-pattern';

import type { PoolPicture, RolloutPicture, WantedState } from './poolTypes.js';

/** A pool's current part in the roll-out. */
export interface RolloutTurn {
  readonly wanted: WantedState;
  /** Whether serving runners may be drained now. */
  readonly mayDrain: boolean;
  /** Whether the roll-out is working on this data centre, which then reports when it is finished. */
  readonly active: boolean;
}

interface DataCentrePart {
  readonly version: string;
  readonly active: boolean;
}

/** The data centre that the roll-out is working on; during a roll-back the last one that it reached. */
function activeDataCentre(rollout: RolloutPicture, rollingBack: boolean): string | undefined {
  const { dataCentres, finishedDataCentres } = rollout;
  if (rollingBack) return finishedDataCentres.at(-1);
  return dataCentres.find((dataCentre) => !finishedDataCentres.includes(dataCentre));
}

function partOf(rollout: RolloutPicture, dataCentre: string, rollingBack: boolean): DataCentrePart {
  const active = activeDataCentre(rollout, rollingBack) === dataCentre;
  const reached = rollout.finishedDataCentres.includes(dataCentre);
  // During a roll-back the active data centre is one of those reached, and already returns to the old version.
  const usesNewVersion = rollingBack ? reached && !active : reached || active;
  return { version: usesNewVersion ? rollout.toVersion : rollout.fromVersion, active };
}

function wantedOf(picture: PoolPicture, version: string): WantedState {
  const { model, adapters, role, weightBytes } = picture;
  return { model, version, weightBytes: weightBytes[version] ?? 0, adapters, role };
}

/**
 * Determines the wanted state of a pool and its part in the roll-out.
 *
 * Runners are drained only while the roll-out works on their data centre. A difference outside of that, such
 * as a runner that started with another version, is reported to operators and otherwise left alone: if all
 * data centres corrected their own runners at once, they could together use up the service's capacity.
 *
 * @param picture - the pool.
 * @returns The wanted state and whether runners may be drained for it.
 */
export function currentTurn(picture: PoolPicture): RolloutTurn {
  const { rollout, dataCentre, wantedVersion } = picture;
  const steady: DataCentrePart = { version: wantedVersion, active: false };
  if (!rollout)
    return { wanted: wantedOf(picture, steady.version), mayDrain: false, active: false };
  const rollingBack =
    rollout.state === 'rolling_back' ||
    (rollout.state === 'halted' && rollout.resumesAs === 'rolling_back');
  const part = match(rollout.state)
    .with('running', 'rolling_back', 'halted', () => partOf(rollout, dataCentre, rollingBack))
    .with('finished', 'rolled_back', () => steady)
    .exhaustive();
  const running = rollout.state === 'running' || rollout.state === 'rolling_back';
  const active = running && part.active;
  return { wanted: wantedOf(picture, part.version), mayDrain: active, active };
}

/**
 * How many of a service's runners may be unavailable at once.
 *
 * @param runners - number of the service's runners in all data centres.
 * @param share - largest unavailable share that the roll-out allows, above 0 and at most 1.
 * @returns Number of runners: at least one of several, none of a single one unless the share is 1.
 */
export function unavailableAllowance(runners: number, share: number): number {
  if (share >= 1) return runners;
  if (runners <= 1) return 0;
  return Math.max(1, Math.floor(share * runners));
}

/**
 * Computes the state of the roll-out after a data centre is finished.
 *
 * @param rollout - a roll-out that is running or rolling back.
 * @param dataCentre - the data centre that is finished.
 * @returns The next state, and the service's wanted version if the roll-out ends with it.
 */
export function afterDataCentre(
  rollout: RolloutPicture,
  dataCentre: string,
): Pick<RolloutPicture, 'state' | 'finishedDataCentres'> & { readonly wantedVersion?: string } {
  if (rollout.state === 'rolling_back') {
    const left = rollout.finishedDataCentres.filter((name) => name !== dataCentre);
    if (left.length > 0) return { state: 'rolling_back', finishedDataCentres: left };
    const { fromVersion: wantedVersion } = rollout;
    return { state: 'rolled_back', finishedDataCentres: [], wantedVersion };
  }
  const finishedDataCentres = [...rollout.finishedDataCentres, dataCentre];
  const all = rollout.dataCentres.every((name) => finishedDataCentres.includes(name));
  if (!all) return { state: 'running', finishedDataCentres };
  return { state: 'finished', finishedDataCentres, wantedVersion: rollout.toVersion };
}

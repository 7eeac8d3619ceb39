/**
 * Converts a change planned by a roll-out into edits of the configuration. Each edit expects the revision
 * that is in force here and fails if the entity has changed since: a holder that was paused, or another
 * holder, may want the same change or the opposite.
 */
import { create } from '@bufbuild/protobuf';

import type { EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import { EntityEditSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { Rollout, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import { DrainSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import type { EntityContent } from '../operators/resourceKinds.js';
import { drainName, entityOf } from '../operators/resourceKinds.js';
import type { PoolName } from './poolPicture.js';
import { rolloutAuthor } from './poolPicture.js';
import type { RolloutAction, RolloutStep } from './rolloutTypes.js';

/** Result when the edits cannot be made, with the reason. */
export interface EditsRefused {
  readonly refused: string;
}

function upsert(value: EntityContent, expectedRevision: bigint): EntityEdit {
  const edit = { case: 'upsert' as const, value: entityOf(value) };
  return create(EntityEditSchema, { edit, expectedRevision });
}

function drainEdits(
  changes: ConfigurationChanges,
  pool: PoolName,
  { drains, lifts }: Extract<RolloutAction, { kind: 'change' }>,
): EntityEdit[] {
  const author = rolloutAuthor(pool.service);
  const added = drains.map(({ runnerId, incarnation }) => {
    const target = { kind: 'runner', id: runnerId };
    const current = changes.entity('drain', drainName(target));
    const value = create(DrainSchema, {
      ...target,
      incarnation: BigInt(incarnation),
      requestedBy: author,
      reason: `roll-out in ${pool.dataCentre}`,
    });
    return upsert({ case: 'drain', value }, current?.changedRevision ?? 0n);
  });
  const lifted = lifts.flatMap((runnerId) => {
    const name = drainName({ kind: 'runner', id: runnerId });
    const current = changes.entity('drain', name);
    // Keeps a drain that an operator has set in the meantime: only the operator may remove it.
    if (current?.entity.case !== 'drain' || current.entity.value.requestedBy !== author) return [];
    const edit = { case: 'remove' as const, value: { kind: 'drain', name } };
    return create(EntityEditSchema, { edit, expectedRevision: current.changedRevision });
  });
  return [...added, ...lifted];
}

function sameStep(rollout: Rollout, { before }: RolloutStep): boolean {
  const { state, finishedDataCentres } = rollout;
  return (
    state === before.state &&
    finishedDataCentres.join('\n') === before.finishedDataCentres.join('\n')
  );
}

function stepped(rollout: Rollout, { before, after, reason }: RolloutStep): Rollout {
  return {
    ...rollout,
    state: after.state,
    finishedDataCentres: [...after.finishedDataCentres],
    reason,
    resumesAs: after.state === 'halted' ? before.state : '',
  };
}

function serviceEdit(
  changes: ConfigurationChanges,
  name: string,
  wantedVersion: string,
): EntityEdit[] {
  const current = changes.entity('service', name);
  if (current?.entity.case !== 'service') return [];
  const service: Service = { ...current.entity.value, wantedVersion };
  return [upsert({ case: 'service', value: service }, current.changedRevision)];
}

/**
 * Converts a planned change into edits.
 *
 * @param changes - gives the entities that are in force on this daemon.
 * @param pool - the pool that is being rolled out.
 * @param change - the change that the decisions ask for.
 * @returns The edits, or the reason if nothing is left to change or the roll-out has changed since.
 */
export function rolloutEdits(
  changes: ConfigurationChanges,
  pool: PoolName,
  change: Extract<RolloutAction, { kind: 'change' }>,
): readonly EntityEdit[] | EditsRefused {
  const edits = drainEdits(changes, pool, change);
  const { rollout: step } = change;
  if (!step) return edits.length > 0 ? edits : { refused: 'nothing is left to change' };
  const current = changes.entity('rollout', pool.service);
  if (current?.entity.case !== 'rollout' || !sameStep(current.entity.value, step)) {
    return { refused: 'the roll-out has changed meanwhile' };
  }
  const rollout = stepped(current.entity.value, step);
  edits.push(upsert({ case: 'rollout', value: rollout }, current.changedRevision));
  const { wantedVersion } = step;
  if (wantedVersion !== undefined) edits.push(...serviceEdit(changes, pool.service, wantedVersion));
  return edits;
}

/**
 * Converts accepted changes into the history entries that operators see.
 */
import { create } from '@bufbuild/protobuf';

import type { ConfigurationChange, EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import type { HistoryEntry, ResourceEffect } from '../generated/baobabdock/v1/operators_pb.js';
import {
  HistoryEntrySchema,
  ResourceEffectSchema,
} from '../generated/baobabdock/v1/operators_pb.js';
import { entityKeyOf } from './resourceKinds.js';

function effectOf(edit: EntityEdit): ResourceEffect | undefined {
  if (edit.edit.case === 'remove') {
    const { kind, name } = edit.edit.value;
    return create(ResourceEffectSchema, { kind, name, effect: 'removed' });
  }
  const value = edit.edit.value?.entity;
  if (!value || value.case === undefined) return undefined;
  const effect = edit.expectedRevision === 0n ? 'created' : 'changed';
  return create(ResourceEffectSchema, { ...entityKeyOf(value), effect });
}

/**
 * @param change - an accepted change.
 * @returns The history entry. An edit without an expected revision is shown as "changed", because the change does not
 *   record whether the entity existed before.
 */
export function historyEntryOf(change: ConfigurationChange): HistoryEntry {
  return create(HistoryEntrySchema, {
    revision: change.revision,
    changeId: change.changeId,
    operator: change.author,
    reason: change.comment,
    atMilliseconds: change.changedAtMilliseconds,
    effects: change.edits.flatMap((edit) => effectOf(edit) ?? []),
  });
}

/**
 * @param change - an accepted change.
 * @param kind - kind of an entity; empty for any.
 * @param name - name of an entity; empty for any.
 * @returns Whether the change edited such an entity.
 */
export function editsEntity(change: ConfigurationChange, kind: string, name: string): boolean {
  return change.edits.some((edit) => {
    const effect = effectOf(edit);
    if (!effect) return false;
    return (kind === '' || effect.kind === kind) && (name === '' || effect.name === name);
  });
}

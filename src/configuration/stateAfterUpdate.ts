/**
 * Computes the configuration state after an update, without putting it in force.
 */
import { fromBinary, fromJson } from '@bufbuild/protobuf';

import {
  ConfigurationChangeSchema,
  ConfigurationSnapshotSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import { InconsistentStoreError } from './configurationErrors.js';
import { ConfigurationState } from './ConfigurationState.js';
import type { DocumentUpdate } from './configurationTypes.js';

/**
 * Computes the state after an update.
 *
 * @param state - the state that the update was requested for.
 * @param answer - the update from the store.
 * @returns The state after the update.
 * @throws {@link InconsistentStoreError} if a change cannot be applied to the state before it.
 */
export function stateAfterUpdate(
  state: ConfigurationState,
  answer: DocumentUpdate,
): ConfigurationState {
  if (answer.kind === 'same') return state;
  if (answer.kind === 'whole')
    return ConfigurationState.fromSnapshot(
      fromBinary(ConfigurationSnapshotSchema, Buffer.from(answer.whole, 'base64')),
    );
  return answer.changes.reduce<ConfigurationState>((before, json) => {
    const change = fromJson(ConfigurationChangeSchema, json, { ignoreUnknownFields: true });
    const after = before.withChange(change);
    if (!after) throw new InconsistentStoreError(`change ${change.revision} does not fit`);
    return after;
  }, state);
}

/**
 * Submits operators' changes to the configuration and turns each outcome into an answer or an error.
 */
import { create, equals } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';

import type { ConfigurationEntity, EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import {
  ConfigurationEntitySchema,
  EntityEditSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { ChangeResponse, HistoryEntry } from '../generated/baobabdock/v1/operators_pb.js';
import { ChangeResponseSchema } from '../generated/baobabdock/v1/operators_pb.js';
import type { Log } from '../logging/Log.js';
import type { ChangeOutcome, ConfigurationChanges } from './ConfigurationChanges.js';
import { findingsOfRequest } from './findingsOfRequest.js';
import { historyEntryOf, editsEntity } from './historyEntries.js';
import type { CheckedOrigin } from './operatorContext.js';
import { refusalError } from './operatorErrors.js';
import { operatorsFeature } from './operatorsFeature.js';
import type { EntityKind } from './resourceKinds.js';
import { entityOf, entityKeyOf } from './resourceKinds.js';

/** Number of attempts of a change that the daemon computes from the newest value, the first attempt included. */
const MAXIMUM_MODIFY_ATTEMPTS = 4;

/** Number of the latest changes in which the author of a conflicting change is looked for. */
const CONFLICT_HISTORY_CHANGES = 50;

/** Number of the latest changes in which an earlier call with the same change id is looked for. */
const REPEAT_HISTORY_CHANGES = 1000;

/** One edit with the field of the request that it was made from, for error messages. */
export interface EditWithField {
  readonly edit: EntityEdit;
  /** Path of the field, for example `resources[3].service`. */
  readonly field: string;
}

/** A change of one entity that is computed from the entity's current value. */
export interface EntityModification {
  readonly origin: CheckedOrigin;
  readonly kind: EntityKind;
  readonly name: string;
  /** The field of the request under which errors are reported. */
  readonly field: string;
  /**
   * Computes the new value from the current one, or throws. The argument is `undefined` if the entity does not exist; the
   * result `undefined` removes it.
   */
  readonly modify: (
    current: ConfigurationEntity | undefined,
  ) => ConfigurationEntity | undefined | Promise<ConfigurationEntity | undefined>;
}

/** Options of a {@link ChangeSubmitter}. */
export interface ChangeSubmitterOptions {
  changes: ConfigurationChanges;
  log: Log;
}

/**
 * @param edit - an edit with an entity in it.
 * @returns Kind and name of the entity that the edit changes or removes.
 */
export function editedEntityOf(edit: EntityEdit): { kind: EntityKind; name: string } {
  if (edit.edit.case === 'remove') {
    return { kind: edit.edit.value.kind as EntityKind, name: edit.edit.value.name };
  }
  const value = edit.edit.value?.entity;
  if (!value || value.case === undefined) throw new Error('An edit without an entity was built.');
  return entityKeyOf(value);
}

/** A conflict with another change. It keeps the newer value, so that the change can be computed again from it. */
class EditConflictError extends ConnectError {
  constructor(
    error: ConnectError,
    readonly current: ConfigurationEntity | undefined,
  ) {
    super(error.rawMessage, error.code, error.metadata, undefined, error.cause);
    this.details = error.details;
  }
}

/** Submits changes for all handlers and logs their outcomes. */
export class ChangeSubmitter {
  private readonly changes: ConfigurationChanges;

  private readonly log: Log;

  /**
   * @param options - the configuration to change, and the log.
   */
  constructor({ changes, log }: ChangeSubmitterOptions) {
    this.changes = changes;
    this.log = log;
  }

  /**
   * Submits a change once.
   *
   * @param origin - the change id, its author and the reason.
   * @param placed - the edits with the fields of the request.
   * @param options - `creating`: a conflict with an existing entity is reported as "already exists"; `dryRun`: the change
   *   is only checked.
   * @returns The answer for the operator.
   * @throws ConnectError with findings, or with the newer value if another change came first.
   */
  async submit(
    origin: CheckedOrigin,
    placed: readonly EditWithField[],
    options: { creating?: boolean; dryRun?: boolean } = {},
  ): Promise<ChangeResponse> {
    const effects = placed.map(({ edit }) => this.effectOf(edit));
    const outcome = await this.changes.change({
      ...origin,
      edits: placed.map(({ edit }) => edit),
      dryRun: options.dryRun ?? false,
    });
    if (outcome.kind !== 'accepted') {
      throw await this.refusalOf(origin, placed, outcome, options.creating ?? false);
    }
    const { revision, repeated } = outcome;
    const targets = effects.map(({ kind, name, effect }) => `${effect} ${kind} ${name}`);
    if (!options.dryRun) {
      const { changeId, author, comment } = origin;
      this.log.write(operatorsFeature.logEvents.changed, {
        revision,
        changeId,
        operator: author,
        reason: comment,
        repeated,
        effects: targets,
      });
    }
    return create(ChangeResponseSchema, { revision: BigInt(revision), repeated, effects });
  }

  /**
   * Submits a change that depends on the current value. If another change comes first, this one is computed again from
   * the newer value and submitted again.
   *
   * @param modification - the entity and how to compute its new value.
   * @returns The answer for the operator.
   * @throws ConnectError as {@link ChangeSubmitter.submit}; `aborted` if the last attempt met a conflict, too.
   */
  async modify(modification: EntityModification): Promise<ChangeResponse> {
    const { origin, kind, name, field, modify } = modification;
    let current = this.changes.entity(kind, name);
    let conflict: ConnectError | undefined;
    for (let attempt = 0; attempt < MAXIMUM_MODIFY_ATTEMPTS; attempt += 1) {
      let wanted: ConfigurationEntity | undefined;
      try {
        wanted = await modify(current);
      } catch (error) {
        return this.answerRepeat(origin, error);
      }
      const edit = create(EntityEditSchema, {
        expectedRevision: current?.changedRevision ?? 0n,
        edit: wanted
          ? { case: 'upsert', value: wanted }
          : { case: 'remove', value: { kind, name } },
      });
      let newer: ConfigurationEntity | undefined;
      try {
        return await this.submit(origin, [{ edit, field }]);
      } catch (error) {
        if (!(error instanceof EditConflictError)) throw error;
        conflict = error;
        newer = error.current;
      }
      current = newer;
    }
    throw conflict ?? new ConnectError('The change lost every race.', Code.Aborted);
  }

  /**
   * Answers a change that cannot be made now but may have been made by an earlier call with the same change id. Such a
   * repeat meets its own result, for example an entity that is already removed. An operator who repeats a change because
   * the first answer was lost would take the error for a failure, so the change id is looked up in the history first.
   *
   * @param origin - the change id to look up.
   * @param error - the reason why the change cannot be made now.
   * @returns The answer to a repeated change.
   * @throws The given error if the history does not hold the change id.
   */
  async answerRepeat(origin: CheckedOrigin, error: unknown): Promise<ChangeResponse> {
    const history = await this.changes.history(REPEAT_HISTORY_CHANGES).catch(() => []);
    const earlierChange = history.find(({ changeId }) => changeId === origin.changeId);
    if (!earlierChange) throw error;
    const { revision, effects } = historyEntryOf(earlierChange);
    return create(ChangeResponseSchema, { revision, repeated: true, effects });
  }

  private effectOf(edit: EntityEdit): { kind: EntityKind; name: string; effect: string } {
    const target = editedEntityOf(edit);
    const current = this.changes.entity(target.kind, target.name);
    if (edit.edit.case === 'remove')
      return { ...target, effect: current ? 'removed' : 'unchanged' };
    if (!current) return { ...target, effect: 'created' };
    const value = edit.edit.value?.entity;
    const same =
      value?.case !== undefined &&
      current.entity.case !== undefined &&
      equals(ConfigurationEntitySchema, entityOf(value), entityOf(current.entity));
    return { ...target, effect: same ? 'unchanged' : 'changed' };
  }

  private async refusalOf(
    origin: CheckedOrigin,
    placed: readonly EditWithField[],
    outcome: Exclude<ChangeOutcome, { kind: 'accepted' }>,
    creating: boolean,
  ): Promise<ConnectError> {
    const { changeId, author } = origin;
    const event =
      outcome.kind === 'unsure'
        ? operatorsFeature.logEvents.unsure
        : operatorsFeature.logEvents.refused;
    this.log.write(event, { changeId, operator: author, outcome: outcome.kind });
    if (outcome.kind === 'invalid') {
      return refusalError({ ...outcome, findings: findingsOfRequest(outcome.findings, placed) });
    }
    if (outcome.kind !== 'conflict') return refusalError(outcome);
    const edit = placed[outcome.edit]?.edit;
    const changedBy = edit ? await this.findLastChange(edit) : undefined;
    const error = refusalError(outcome, { creating, ...(changedBy && { changedBy }) });
    return new EditConflictError(error, outcome.current);
  }

  private async findLastChange(edit: EntityEdit): Promise<HistoryEntry | undefined> {
    const target = editedEntityOf(edit);
    try {
      const history = await this.changes.history(CONFLICT_HISTORY_CHANGES);
      const found = history.find((change) => editsEntity(change, target.kind, target.name));
      return found && historyEntryOf(found);
    } catch {
      // The author of the newer value is optional: if the store does not answer, the conflict is reported without it.
      return undefined;
    }
  }
}

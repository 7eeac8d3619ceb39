/**
 * The part of the configuration's interface that operators' calls need: reading entities, submitting changes and reading
 * the history.
 */
import type { Finding } from '../findings/Findings.js';
import type {
  ConfigurationChange,
  ConfigurationEntity,
  EntityEdit,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { EntityKind } from './resourceKinds.js';

/** A change that an operator requests. */
export interface RequestedChange {
  /** Unique for each change. It makes the change idempotent: a repeat with the same id has no further effect. */
  readonly changeId: string;
  readonly author: string;
  readonly comment: string;
  readonly edits: readonly EntityEdit[];
  /** Checks whether the change would be accepted, without making it. */
  readonly dryRun?: boolean;
}

/** Outcome of a change. */
export type ChangeOutcome =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** Whether an earlier call with the same change id had made the change. */
      readonly repeated: boolean;
    }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      /** Index of the edit whose expected revision does not match. */
      readonly edit: number;
      /** The entity's current value, or `undefined` if it does not exist. */
      readonly current: ConfigurationEntity | undefined;
    }
  /** The field of a finding about an edit begins with that edit, for example `edits[2].weight`. */
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  /** The store is unavailable and nothing was written. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** The change may have been written. It is safe to repeat it with the same change id. */
  | { readonly kind: 'unsure'; readonly message: string };

/** Reads and changes the configuration. Implemented over the store, and in memory for tests. */
export abstract class ConfigurationChanges {
  /** @returns The revision in force on this daemon. */
  abstract revision(): number;

  /**
   * @param kind - the kind of entity.
   * @returns All entities of that kind in force on this daemon, ordered by name.
   */
  abstract entities(kind: EntityKind): readonly ConfigurationEntity[];

  /**
   * @param kind - the kind of entity.
   * @param name - the entity's name.
   * @returns The entity in force on this daemon, or `undefined`.
   */
  abstract entity(kind: EntityKind, name: string): ConfigurationEntity | undefined;

  /**
   * Makes a change atomically. A failure of the store is an outcome, never an exception.
   *
   * @param change - the change.
   * @returns The outcome.
   */
  abstract change(change: RequestedChange): Promise<ChangeOutcome>;

  /**
   * @param maximum - largest number of changes to return.
   * @returns The latest changes, the newest first; rejects if the store does not answer.
   */
  abstract history(maximum: number): Promise<readonly ConfigurationChange[]>;
}

/**
 * The configuration document at one revision. States are immutable: a change produces a new state.
 */
import { clone, create, equals } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import {
  ConfigurationEntitySchema,
  ConfigurationSnapshotSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type {
  ConfigurationChange,
  ConfigurationEntity,
  ConfigurationSnapshot,
  EntityEdit,
} from '../generated/baobabdock/v1/changes_pb.js';
import { ConfigurationSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Configuration } from '../generated/baobabdock/v1/configuration_pb.js';
import type { EntityKind } from '../operators/resourceKinds.js';
import { EMPTY_DIGEST, entityKey, nameOfEdit, nameOfEntity, toggleDigest } from './entities.js';
import type { EntityName } from './entities.js';

/**
 * Whether an edit writes the value that the entity already has. The entity then keeps its revision, so that
 * later edits based on that revision do not fail with a false conflict.
 */
function isUnchangedBy(before: ConfigurationEntity, { edit }: EntityEdit): boolean {
  if (edit.case !== 'upsert') return false;
  const after = { ...edit.value, changedRevision: before.changedRevision };
  return equals(ConfigurationEntitySchema, before, after);
}

/** All entities that operators have configured, at one revision. */
export class ConfigurationState {
  /** The state before the first change. */
  static readonly EMPTY = new ConfigurationState(0, EMPTY_DIGEST, new Map());

  private wholeConfiguration: Configuration | undefined;

  private constructor(
    /** Increases by one with each change; 0 before the first change. */
    readonly revision: number,
    /** Hexadecimal digest of all entities. */
    readonly digest: string,
    private readonly entities: ReadonlyMap<string, ConfigurationEntity>,
  ) {}

  /**
   * Builds a state from a snapshot. The digest is computed from the entities; callers compare it with the
   * digest that the snapshot states.
   *
   * @param snapshot - a whole document.
   * @returns The state.
   */
  static fromSnapshot(snapshot: ConfigurationSnapshot): ConfigurationState {
    const entities = new Map<string, ConfigurationEntity>();
    for (const entity of snapshot.entities) {
      const name = nameOfEntity(entity);
      if (name) entities.set(entityKey(name), entity);
    }
    return new ConfigurationState(
      Number(snapshot.revision),
      toggleDigest(EMPTY_DIGEST, entities.values()),
      entities,
    );
  }

  /** @returns The whole document in the form that is stored and sent. */
  toSnapshot(): ConfigurationSnapshot {
    return create(ConfigurationSnapshotSchema, {
      revision: BigInt(this.revision),
      digest: this.digest,
      entities: [...this.entities.values()],
    });
  }

  /**
   * Applies the edits of one change.
   *
   * @param edits - the edits, in order; those that name no entity are skipped.
   * @returns The state at the next revision.
   */
  withEdits(edits: readonly EntityEdit[]): ConfigurationState {
    const revision = this.revision + 1;
    const entities = new Map(this.entities);
    let { digest } = this;
    for (const edit of edits) {
      const name = nameOfEdit(edit);
      if (!name) continue;
      const key = entityKey(name);
      const before = entities.get(key);
      if (before && isUnchangedBy(before, edit)) continue;
      if (before) digest = toggleDigest(digest, [before]);
      entities.delete(key);
      if (edit.edit.case !== 'upsert') continue;
      const entity = clone(ConfigurationEntitySchema, edit.edit.value);
      entity.changedRevision = BigInt(revision);
      entities.set(key, entity);
      digest = toggleDigest(digest, [entity]);
    }
    return new ConfigurationState(revision, digest, entities);
  }

  /**
   * Applies an accepted change and verifies the result against the change's digest.
   *
   * @param change - the change that made the next revision.
   * @returns The state after it, or `undefined` if the change is not for the next revision, or if the
   *   resulting content differs from the content that the change's author had.
   */
  withChange(change: ConfigurationChange): ConfigurationState | undefined {
    if (Number(change.revision) !== this.revision + 1) return undefined;
    const after = this.withEdits(change.edits);
    return after.digest === change.digest ? after : undefined;
  }

  /**
   * @param name - kind and name of the entity.
   * @returns The entity with the revision of its last change, or `undefined` if there is none.
   */
  entity(name: EntityName): ConfigurationEntity | undefined {
    return this.entities.get(entityKey(name));
  }

  /**
   * @param kind - a kind of entity.
   * @returns All entities of that kind, ordered by name.
   */
  entitiesOf(kind: EntityKind): ConfigurationEntity[] {
    const prefix = entityKey({ kind, name: '' });
    return [...this.entities]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([, entity]) => entity);
  }

  /** @returns The document in the form that other modules read; always the same object for one revision. */
  configuration(): Configuration {
    this.wholeConfiguration ??= this.buildConfiguration();
    return this.wholeConfiguration;
  }

  private buildConfiguration(): Configuration {
    const whole = create(ConfigurationSchema);
    for (const { entity } of this.entities.values()) {
      match(entity)
        .with({ case: 'clientAccount' }, ({ value }) => whole.clientAccounts.push(value))
        .with({ case: 'service' }, ({ value }) => whole.services.push(value))
        .with({ case: 'modelVersion' }, ({ value }) => whole.modelVersions.push(value))
        .with({ case: 'routingPolicy' }, ({ value }) => whole.routingPolicies.push(value))
        .with({ case: 'drain' }, ({ value }) => whole.drains.push(value))
        .with({ case: 'rollout' }, ({ value }) => whole.rollouts.push(value))
        .with({ case: undefined }, () => 0)
        .exhaustive();
    }
    return whole;
  }
}

/**
 * A configuration in memory with faults that can be injected, for tests of the operators' interface.
 */
import { clone, create, equals } from '@bufbuild/protobuf';

import type { Finding } from '../findings/Findings.js';
import type {
  ConfigurationChange,
  ConfigurationEntity,
  EntityEdit,
} from '../generated/baobabdock/v1/changes_pb.js';
import {
  ConfigurationChangeSchema,
  ConfigurationEntitySchema,
  EntityEditSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { Configuration } from '../generated/baobabdock/v1/configuration_pb.js';
import { ConfigurationSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { ChangeOutcome, RequestedChange } from './ConfigurationChanges.js';
import { ConfigurationChanges } from './ConfigurationChanges.js';
import type { EntityKind } from './resourceKinds.js';
import { entityOf, entityKeyOf } from './resourceKinds.js';

/** A fault that a test injects into one change: the store is unavailable, or the change is made and its answer lost. */
export type InjectedFault = 'unavailable' | 'lost_answer';

function editedEntityOf(edit: EntityEdit): { kind: EntityKind; name: string } {
  if (edit.edit.case === 'remove') {
    return { kind: edit.edit.value.kind as EntityKind, name: edit.edit.value.name };
  }
  const value = edit.edit.value?.entity;
  if (!value || value.case === undefined) throw new RangeError('An edit holds nothing.');
  return entityKeyOf(value);
}

/** Keeps entities in memory, with compare-and-swap for each entity, idempotent change ids and a history. */
export class MemoryConfigurationChanges extends ConfigurationChanges {
  /** Faults of the next changes, one for each change, in order. */
  readonly faults: InjectedFault[] = [];

  /** Validates the edits of a change. Returns no findings unless a test replaces it. */
  validateEdits: (edits: readonly EntityEdit[]) => readonly Finding[] = () => [];

  private readonly entitiesByKey = new Map<string, ConfigurationEntity>();

  private readonly log: ConfigurationChange[] = [];

  private now = 0;

  override revision(): number {
    return this.now;
  }

  override entities(kind: EntityKind): readonly ConfigurationEntity[] {
    const keys = [...this.entitiesByKey.keys()].filter((key) => key.startsWith(`${kind}/`)).sort();
    return keys.flatMap((key) => this.entitiesByKey.get(key) ?? []);
  }

  override entity(kind: EntityKind, name: string): ConfigurationEntity | undefined {
    return this.entitiesByKey.get(`${kind}/${name}`);
  }

  override async change(change: RequestedChange): Promise<ChangeOutcome> {
    const fault = this.faults.shift();
    if (fault === 'unavailable') return { kind: 'unavailable', message: 'The platform is down.' };
    const outcome = this.apply(change);
    if (fault === 'lost_answer') return { kind: 'unsure', message: 'The answer was lost.' };
    return outcome;
  }

  override async history(maximum: number): Promise<readonly ConfigurationChange[]> {
    return this.log.slice(-maximum).reverse();
  }

  /** @returns The whole configuration as a daemon has it in force. */
  configuration(): Configuration {
    const whole = create(ConfigurationSchema);
    for (const { entity } of this.entitiesByKey.values()) {
      if (entity.case === 'clientAccount') whole.clientAccounts.push(entity.value);
      if (entity.case === 'service') whole.services.push(entity.value);
      if (entity.case === 'modelVersion') whole.modelVersions.push(entity.value);
      if (entity.case === 'routingPolicy') whole.routingPolicies.push(entity.value);
      if (entity.case === 'drain') whole.drains.push(entity.value);
      if (entity.case === 'rollout') whole.rollouts.push(entity.value);
    }
    return whole;
  }

  private apply({ changeId, author, comment, edits, dryRun }: RequestedChange): ChangeOutcome {
    const made = this.log.find((entry) => entry.changeId === changeId);
    if (made) return { kind: 'accepted', revision: Number(made.revision), repeated: true };
    for (const [position, edit] of edits.entries()) {
      const { kind, name } = editedEntityOf(edit);
      const current = this.entity(kind, name);
      const expected = edit.expectedRevision;
      if (expected !== undefined && expected !== (current?.changedRevision ?? 0n)) {
        return { kind: 'conflict', revision: this.now, edit: position, current };
      }
    }
    const findings = this.validateEdits(edits);
    if (findings.length > 0) return { kind: 'invalid', findings };
    if (dryRun) return { kind: 'accepted', revision: this.now, repeated: false };
    this.now += 1;
    for (const edit of edits) this.put(edit);
    this.log.push(
      create(ConfigurationChangeSchema, {
        revision: BigInt(this.now),
        changeId,
        author,
        comment,
        edits: edits.map((edit) => clone(EntityEditSchema, edit)),
      }),
    );
    return { kind: 'accepted', revision: this.now, repeated: false };
  }

  private put(edit: EntityEdit): void {
    const { kind, name } = editedEntityOf(edit);
    const key = `${kind}/${name}`;
    if (edit.edit.case !== 'upsert') {
      this.entitiesByKey.delete(key);
      return;
    }
    const value = edit.edit.value.entity;
    if (value.case === undefined) return;
    const entity = clone(ConfigurationEntitySchema, entityOf(value));
    const before = this.entitiesByKey.get(key);
    entity.changedRevision = before?.changedRevision ?? 0n;
    if (before && equals(ConfigurationEntitySchema, before, entity)) return;
    entity.changedRevision = BigInt(this.now);
    this.entitiesByKey.set(key, entity);
  }
}

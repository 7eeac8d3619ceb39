/**
 * The entities that operators configure: their names, their place in validation findings, and their digest.
 */
import { createHash } from 'node:crypto';

import { toBinary } from '@bufbuild/protobuf';

import { ConfigurationEntitySchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { ConfigurationEntity, EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import { entityKeyOf } from '../operators/resourceKinds.js';
import type { EntityKind } from '../operators/resourceKinds.js';

/** Field of the configuration that holds the entities of each kind. */
export const ENTITY_FIELDS: Readonly<Record<EntityKind, string>> = {
  client_account: 'clientAccounts',
  service: 'services',
  model_version: 'modelVersions',
  routing_policy: 'routingPolicies',
  drain: 'drains',
  rollout: 'rollouts',
};

/** An entity's kind and name, which identify it within the document. */
export interface EntityName {
  readonly kind: EntityKind;
  readonly name: string;
}

/** Length to which an entity's digest is truncated, in bytes. */
const DIGEST_BYTES = 16;

/** Digest of a document without entities, hexadecimal. */
export const EMPTY_DIGEST = '00'.repeat(DIGEST_BYTES);

/**
 * @param entity - an entity.
 * @returns Its kind and name, or `undefined` if it is empty or of a kind from a newer schema.
 */
export function nameOfEntity({ entity }: ConfigurationEntity): EntityName | undefined {
  return entity.case === undefined ? undefined : entityKeyOf(entity);
}

/**
 * @param edit - an edit of a change.
 * @returns Kind and name of the edited entity, or `undefined` if the edit names no entity of a known kind.
 */
export function nameOfEdit({ edit }: EntityEdit): EntityName | undefined {
  if (edit.case === 'upsert') return nameOfEntity(edit.value);
  if (edit.case !== 'remove' || !(edit.value.kind in ENTITY_FIELDS)) return undefined;
  return { kind: edit.value.kind as EntityKind, name: edit.value.name };
}

/**
 * @param name - kind and name of an entity.
 * @returns The entity's key in maps.
 */
export function entityKey({ kind, name }: EntityName): string {
  return `${kind}/${name}`;
}

/**
 * @param name - kind and name of an entity.
 * @returns The entity's field path in the document, for example `services[tile-sales]`.
 */
export function entityField({ kind, name }: EntityName): string {
  return `${ENTITY_FIELDS[kind]}[${name}]`;
}

function hashOf(entity: ConfigurationEntity): Uint8Array {
  return createHash('sha256').update(toBinary(ConfigurationEntitySchema, entity)).digest();
}

/**
 * Adds entities to a document's digest, or removes them from it. The digest of a document is the exclusive or
 * of its entities' digests, so the cost of an update depends on the changed entities, not on the size of the
 * document. It detects accidental differences, not forgery: peers and the platform are authenticated. Unknown
 * fields from a newer schema are kept and included, so that daemons of different versions get the same digest.
 *
 * @param digest - the document's digest, hexadecimal.
 * @param entities - the entities to add or to remove.
 * @returns The document's new digest.
 */
export function toggleDigest(digest: string, entities: Iterable<ConfigurationEntity>): string {
  const bytes = Buffer.from(digest, 'hex');
  for (const entity of entities) {
    const hash = hashOf(entity);
    for (let index = 0; index < DIGEST_BYTES; index += 1) bytes[index]! ^= hash[index]!;
  }
  return bytes.toString('hex');
}

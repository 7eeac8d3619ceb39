/**
 * The kinds of entities in a configuration, with functions that convert, list and find entities.
 */
import { create } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import type { ConfigurationEntity, EntityKey } from '../generated/baobabdock/v1/changes_pb.js';
import { ConfigurationEntitySchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { Configuration, Drain } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Resource } from '../generated/baobabdock/v1/operators_pb.js';
import { ResourceSchema } from '../generated/baobabdock/v1/operators_pb.js';

/** Kinds of resources: the entities that operators create, change, list, read and remove directly. */
export const RESOURCE_KINDS = [
  'client_account',
  'service',
  'model_version',
  'routing_policy',
] as const;

/** One of {@link RESOURCE_KINDS}. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Kind of any entity in the configuration: a resource, a drain or a roll-out. */
export type EntityKind = ResourceKind | 'drain' | 'rollout';

/** The content of an entity that is not empty. */
export type EntityContent = Exclude<ConfigurationEntity['entity'], { case: undefined }>;

/** The content of a resource that is not empty. */
export type ResourceContent = Exclude<Resource['resource'], { case: undefined }>;

const KIND_OF_CASE: Readonly<Record<EntityContent['case'], EntityKind>> = {
  clientAccount: 'client_account',
  service: 'service',
  modelVersion: 'model_version',
  routingPolicy: 'routing_policy',
  drain: 'drain',
  rollout: 'rollout',
};

/**
 * @param kind - any text.
 * @returns Whether the text is a kind of resource.
 */
export function isResourceKind(kind: string): kind is ResourceKind {
  return (RESOURCE_KINDS as readonly string[]).includes(kind);
}

/**
 * @param drain - a drain.
 * @returns The drain's name in the configuration.
 */
export function drainName(drain: Pick<Drain, 'kind' | 'id'>): string {
  return `${drain.kind}:${drain.id}`;
}

/**
 * @param value - the content of an entity.
 * @returns The entity's kind and name.
 */
export function entityKeyOf(value: EntityContent): { kind: EntityKind; name: string } {
  const kind = KIND_OF_CASE[value.case];
  return { kind, name: value.case === 'drain' ? drainName(value.value) : value.value.name };
}

/**
 * @param value - the content of an entity.
 * @returns The entity as a message.
 */
export function entityOf(value: EntityContent): ConfigurationEntity {
  return create(ConfigurationEntitySchema, { entity: value });
}

/**
 * @param entity - an entity of the configuration.
 * @returns The entity as a resource, or `undefined` if it is empty, a drain or a roll-out.
 */
export function resourceOf(entity: ConfigurationEntity | undefined): Resource | undefined {
  const value = entity?.entity;
  if (!value || value.case === undefined) return undefined;
  if (value.case === 'drain' || value.case === 'rollout') return undefined;
  return create(ResourceSchema, { resource: value });
}

/**
 * Lists the entities of one kind.
 *
 * @param configuration - the configuration.
 * @param kind - the kind of entity.
 * @returns The entities, in the configuration's order.
 */
export function entitiesOf(
  configuration: Configuration,
  kind: EntityKind,
): readonly EntityContent[] {
  return match(kind)
    .with('client_account', () =>
      configuration.clientAccounts.map((value) => ({ case: 'clientAccount' as const, value })),
    )
    .with('service', () =>
      configuration.services.map((value) => ({ case: 'service' as const, value })),
    )
    .with('model_version', () =>
      configuration.modelVersions.map((value) => ({ case: 'modelVersion' as const, value })),
    )
    .with('routing_policy', () =>
      configuration.routingPolicies.map((value) => ({ case: 'routingPolicy' as const, value })),
    )
    .with('drain', () => configuration.drains.map((value) => ({ case: 'drain' as const, value })))
    .with('rollout', () =>
      configuration.rollouts.map((value) => ({ case: 'rollout' as const, value })),
    )
    .exhaustive();
}

/**
 * @param configuration - the configuration.
 * @param key - kind and name of the entity.
 * @returns The entity, or `undefined`.
 */
export function findEntity(
  configuration: Configuration,
  key: Pick<EntityKey, 'kind' | 'name'>,
): EntityContent | undefined {
  const wanted = key.kind as EntityKind;
  return entitiesOf(configuration, wanted).find((value) => entityKeyOf(value).name === key.name);
}

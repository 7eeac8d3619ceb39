/**
 * Small, valid pieces of configuration for tests and recorded sessions.
 */
import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { EntityEditSchema } from '../../src/generated/baobabdock/v1/changes_pb.js';
import type {
  EntityEdit,
  ConfigurationEntitySchema,
} from '../../src/generated/baobabdock/v1/changes_pb.js';
import {
  ClientAccountSchema,
  ModelVersionSchema,
  RoutingPolicySchema,
  RunnerRecordSchema,
  ServiceSchema,
} from '../../src/generated/baobabdock/v1/configuration_pb.js';
import type { RunnerRecord } from '../../src/generated/baobabdock/v1/configuration_pb.js';

const SALT_BYTES = 16;
const DIGEST_BYTES = 32;

type EntityInit = NonNullable<MessageInitShape<typeof ConfigurationEntitySchema>['entity']>;

function upsert(entity: EntityInit, expectedRevision?: number): EntityEdit {
  return create(EntityEditSchema, {
    edit: { case: 'upsert', value: { entity } },
    ...(expectedRevision !== undefined && { expectedRevision: BigInt(expectedRevision) }),
  });
}

/** @returns An edit that puts a routing policy; `expectedRevision` is what the operator saw. */
export function policyEdit(name: string, bound: number, expectedRevision?: number): EntityEdit {
  const value = create(RoutingPolicySchema, {
    name,
    bound,
    warmChoices: 8,
    coldChoices: 4,
    reuseWeight: 0.5,
    overflow: 'region',
  });
  return upsert({ case: 'routingPolicy', value }, expectedRevision);
}

/** @returns An edit that puts a client account with one key. */
export function accountEdit(
  init: MessageInitShape<typeof ClientAccountSchema>,
  expectedRevision?: number,
): EntityEdit {
  const value = create(ClientAccountSchema, {
    firm: 'litoral',
    highestPriority: 'standard',
    keys: [
      {
        keyId: `${init.name}-key`,
        salt: new Uint8Array(SALT_BYTES),
        digest: new Uint8Array(DIGEST_BYTES),
      },
    ],
    ...init,
  });
  return upsert({ case: 'clientAccount', value }, expectedRevision);
}

/** @returns An edit that puts a service. */
export function serviceEdit(init: MessageInitShape<typeof ServiceSchema>): EntityEdit {
  return upsert({ case: 'service', value: create(ServiceSchema, { firm: 'litoral', ...init }) });
}

/** @returns An edit that puts a model version. */
export function versionEdit(init: MessageInitShape<typeof ModelVersionSchema>): EntityEdit {
  const value = create(ModelVersionSchema, {
    weightBytes: 1n,
    weightLocation: 'weights/1',
    state: 'available',
    ...init,
  });
  return upsert({ case: 'modelVersion', value });
}

/** @returns An edit that removes an entity. */
export function removal(kind: string, name: string): EntityEdit {
  return create(EntityEditSchema, { edit: { case: 'remove', value: { kind, name } } });
}

/** @returns A runner as the platform lists it. */
export function runnerRecord(init: MessageInitShape<typeof RunnerRecordSchema>): RunnerRecord {
  return create(RunnerRecordSchema, {
    service: 'tile-sales',
    firm: 'litoral',
    region: 'rosario',
    dataCentre: 'rosario-1',
    address: '127.0.0.1:9000',
    state: 'live',
    incarnation: 1n,
    ...init,
  });
}

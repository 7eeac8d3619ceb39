/**
 * Checks of requests about resources, before the configuration's own validation.
 */
import { clone, create } from '@bufbuild/protobuf';

import type { Findings } from '../findings/Findings.js';
import type { ConfigurationEntity } from '../generated/baobabdock/v1/changes_pb.js';
import { EntityEditSchema } from '../generated/baobabdock/v1/changes_pb.js';
import { ClientAccountSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Resource } from '../generated/baobabdock/v1/operators_pb.js';
import type { EditWithField } from './ChangeSubmitter.js';
import type { ResourceKind, ResourceContent } from './resourceKinds.js';
import { RESOURCE_KINDS, entityOf, isResourceKind } from './resourceKinds.js';

/**
 * @param resource - the resource as received.
 * @param field - its field in the request.
 * @param findings - collects the errors.
 * @returns The resource's value, or `undefined` if it is empty or has no name.
 */
export function checkResource(
  resource: Resource | undefined,
  field: string,
  findings: Findings,
): ResourceContent | undefined {
  const value = resource?.resource;
  if (!value || value.case === undefined) {
    const kinds = 'clientAccount, service, modelVersion or routingPolicy';
    findings.add({ field }, `is missing; it has to hold one of ${kinds}`);
    return undefined;
  }
  if (value.value.name === '') {
    findings.add({ field: `${field}.${value.case}.name` }, 'is missing');
    return undefined;
  }
  return value;
}

/**
 * @param kind - the kind as received.
 * @param findings - collects the errors.
 * @returns The kind, or `undefined` if there is no such kind.
 */
export function checkKind(kind: string, findings: Findings): ResourceKind | undefined {
  if (isResourceKind(kind)) return kind;
  findings.add({ field: 'kind' }, `has to be one of ${RESOURCE_KINDS.join(', ')}`);
  return undefined;
}

/**
 * Checks that a change does not set a service's version directly. Every runner would load the new version at once, no
 * matter how much capacity is left, and callers of the whole service would be refused. Only a roll-out changes the version,
 * because it takes the runners in steps.
 *
 * @param value - the new value of the service.
 * @param current - the service's current value.
 * @param field - the field of the resource in the request.
 * @param findings - collects the errors.
 */
export function checkVersionUnchanged(
  value: ResourceContent,
  current: ConfigurationEntity | undefined,
  field: string,
  findings: Findings,
): void {
  if (value.case !== 'service' || current?.entity.case !== 'service') return;
  const before = current.entity.value.wantedVersion;
  if (before === '' || before === value.value.wantedVersion) return;
  findings.add(
    { field: `${field}.service.wantedVersion` },
    `is ${before} and changes only by a roll-out: baobabdock operator rollout start ${value.value.name}`,
  );
}

/**
 * Keeps the keys of a client account when a change sends none. Keys are created and removed by their own calls, so a change
 * of the account's limits comes without them. Without this, such a change would remove the keys and every caller of the
 * account would be refused at once.
 *
 * @param value - the new value of a resource.
 * @param current - the resource's current value.
 * @returns The new value, with the account's current keys if it had none.
 */
export function keepAccountKeys(
  value: ResourceContent,
  current: ConfigurationEntity | undefined,
): ResourceContent {
  if (value.case !== 'clientAccount' || current?.entity.case !== 'clientAccount') return value;
  if (value.value.keys.length > 0) return value;
  const account = clone(ClientAccountSchema, value.value);
  account.keys = current.entity.value.keys;
  return { case: 'clientAccount', value: account };
}

/**
 * @param value - the new value of a resource.
 * @param field - the field of the resource in the request.
 * @param expectedRevision - the revision of the value that the operator read; 0 if there was none, `undefined` to overwrite
 *   any value.
 * @returns The edit that sets the value.
 */
export function createUpsert(
  value: ResourceContent,
  field: string,
  expectedRevision: bigint | undefined,
): EditWithField {
  const edit = create(EntityEditSchema, {
    edit: { case: 'upsert', value: entityOf(value) },
    ...(expectedRevision !== undefined && { expectedRevision }),
  });
  return { edit, field: `${field}.${value.case}` };
}

/**
 * Fields of resources as operators write them in files and on the command line: which there are, and checks of their
 * values.
 */
import type { DescField, DescMessage, JsonValue } from '@bufbuild/protobuf';
import { ScalarType } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import {
  ClientAccountSchema,
  ModelVersionSchema,
  RoutingPolicySchema,
  ServiceSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { ResourceKind } from './resourceKinds.js';

const MAXIMUM_UINT32 = 0xff_ff_ff_ff;

/** The schema of each kind of resource. */
export const RESOURCE_SCHEMAS = {
  client_account: ClientAccountSchema,
  service: ServiceSchema,
  model_version: ModelVersionSchema,
  routing_policy: RoutingPolicySchema,
} as const satisfies Record<ResourceKind, DescMessage>;

/** Name of the field of a `Resource` message that holds each kind of resource. */
export const RESOURCE_CASES = {
  client_account: 'clientAccount',
  service: 'service',
  model_version: 'modelVersion',
  routing_policy: 'routingPolicy',
} as const satisfies Record<ResourceKind, string>;

/** Fields that only dedicated calls change and that operators cannot write. */
const MANAGED_FIELDS: ReadonlySet<string> = new Set(['keys']);

/**
 * @param schema - a resource's schema.
 * @returns The fields that operators may write.
 */
export function writableFields(schema: DescMessage): readonly DescField[] {
  return schema.fields.filter(({ localName }) => !MANAGED_FIELDS.has(localName));
}

/**
 * @param schema - a resource's schema.
 * @param name - the field's name as written by an operator.
 * @returns The field, or an error message with the known fields.
 */
export function findField(schema: DescMessage, name: string): DescField | string {
  const field = writableFields(schema).find(({ localName }) => localName === name);
  if (field) return field;
  if (MANAGED_FIELDS.has(name)) return 'is made by: baobabdock operator keys create';
  const known = writableFields(schema).map(({ localName }) => localName);
  return `is no field; there are ${known.join(', ')}`;
}

function scalarMistake(scalar: ScalarType, value: unknown): string | undefined {
  const whole = typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
  return match(scalar)
    .with(ScalarType.STRING, () =>
      typeof value === 'string' ? undefined : 'has to be text; put it in quotes',
    )
    .with(ScalarType.BOOL, () =>
      typeof value === 'boolean' ? undefined : 'has to be true or false',
    )
    .with(ScalarType.DOUBLE, () => (typeof value === 'number' ? undefined : 'has to be a number'))
    .with(ScalarType.UINT32, () =>
      whole && value <= MAXIMUM_UINT32 ? undefined : 'has to be a whole number, 0 or more',
    )
    .with(ScalarType.UINT64, () => (whole ? undefined : 'has to be a whole number, 0 or more'))
    .otherwise(() => 'cannot be written by hand');
}

/** An error in a value; if the value is a list, with the index of the wrong item. */
export interface ValueError {
  readonly position?: number;
  readonly message: string;
}

/**
 * @param field - a field of a resource.
 * @param value - the value as written by an operator.
 * @returns Every error in the value.
 */
export function checkFieldValue(field: DescField, value: unknown): readonly ValueError[] {
  if (field.fieldKind === 'list' && field.listKind === 'scalar') {
    const { scalar } = field;
    if (!Array.isArray(value)) return [{ message: 'has to be a list' }];
    return value.flatMap((item: unknown, position) => {
      const message = scalarMistake(scalar, item);
      return message ? { position, message } : [];
    });
  }
  if (field.fieldKind !== 'scalar') return [{ message: 'cannot be written by hand' }];
  const message = scalarMistake(field.scalar, value);
  return message ? [{ message }] : [];
}

/**
 * Converts a text from the command line into the type of a field.
 *
 * @param field - a field of a resource.
 * @param text - the text as typed; items of a list are separated by commas.
 * @returns The value, not yet checked by {@link checkFieldValue}; the text itself if it cannot be converted.
 */
export function parseFieldValue(field: DescField, text: string): JsonValue {
  if (field.fieldKind === 'list') return text === '' ? [] : text.split(',');
  if (field.fieldKind !== 'scalar' || field.scalar === ScalarType.STRING) return text;
  if (field.scalar === ScalarType.BOOL && (text === 'true' || text === 'false')) {
    return text === 'true';
  }
  const number = Number(text);
  return text.trim() !== '' && Number.isFinite(number) ? number : text;
}

/**
 * The schema of a whole settings file, composed from the sections of the features:
 * as a TypeScript type and in JSON Schema terms.
 */
import { z } from 'zod';

import type { ALL_FEATURES } from '../features/allFeatures.js';
import type { AnyFeature } from '../features/Feature.js';

/** Settings of a list of features: one section per feature, under the feature's name. */
export type SettingsOf<Features extends readonly AnyFeature[]> = {
  readonly [One in Features[number] as One['name']]: z.output<One['settings']>;
};

/** Settings of the whole program after validation, with defaults filled in. */
export type Settings = SettingsOf<typeof ALL_FEATURES>;

/** A node of the schema; the subset of JSON Schema that is used here. */
export interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly format?: string;
  readonly pattern?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly items?: SchemaNode;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly additionalProperties?: SchemaNode | boolean;
  readonly anyOf?: readonly SchemaNode[];
  readonly oneOf?: readonly SchemaNode[];
}

/**
 * Builds the schema of the whole file, for the reference page and for suggestions on unknown keys.
 *
 * @param features - features whose sections the file holds.
 * @returns An object node with one property for each section.
 */
export function buildSettingsSchema(features: readonly AnyFeature[]): SchemaNode {
  const properties = features.map(({ name, settings }) => [
    name,
    z.toJSONSchema(settings, { io: 'input', unrepresentable: 'any' }) as SchemaNode,
  ]);
  return { type: 'object', properties: Object.fromEntries(properties) as SchemaNode['properties'] };
}

/**
 * Flattens a union.
 *
 * @param node - schema node, possibly a union.
 * @returns The variants of the union, or the node itself if it is none.
 */
export function unionVariants(node: SchemaNode): SchemaNode[] {
  const alternatives = node.anyOf ?? node.oneOf;
  return alternatives ? alternatives.flatMap(unionVariants) : [node];
}

function childSchemas(node: SchemaNode, key: string | number): SchemaNode[] {
  if (typeof key === 'number') return node.items ? unionVariants(node.items) : [];
  const property = node.properties && Object.hasOwn(node.properties, key) && node.properties[key];
  if (property) return unionVariants(property);
  return typeof node.additionalProperties === 'object'
    ? unionVariants(node.additionalProperties)
    : [];
}

/**
 * Finds the schema nodes of a field.
 *
 * @param root - schema of the whole file.
 * @param path - mapping keys and list indexes.
 * @returns All possible nodes: several if the field is a union, none if it is unknown.
 */
export function schemasAt(root: SchemaNode, path: readonly (string | number)[]): SchemaNode[] {
  return path.reduce(
    (nodes, key) => nodes.flatMap((node) => childSchemas(node, key)),
    unionVariants(root),
  );
}

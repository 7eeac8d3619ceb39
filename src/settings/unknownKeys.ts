/**
 * Finds keys in a settings file that the schema does not define, and suggests the most similar defined key.
 */
import type { SettingPath } from './SettingsSource.js';
import type { SchemaNode } from './settingsSchema.js';
import { unionVariants } from './settingsSchema.js';

/** Maximum edit distance, in characters, at which a key still counts as a typing error of a known one. */
const MAXIMUM_DISTANCE = 3;

/** A key that the schema does not define, with the known key that was probably meant. */
export interface UnknownKey {
  readonly path: SettingPath;
  readonly suggestion: string | undefined;
}

/**
 * Levenshtein distance: the number of characters to insert, delete or replace. `Infinity` if the lengths alone differ
 * too much.
 */
function editDistance(from: string, to: string): number {
  if (Math.abs(from.length - to.length) > MAXIMUM_DISTANCE) return Infinity;
  let row = Array.from({ length: to.length + 1 }, (_, index) => index);
  for (let i = 1; i <= from.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= to.length; j += 1) {
      const substitutionCost = (row[j - 1] ?? 0) + (from[i - 1] === to[j - 1] ? 0 : 1);
      next.push(Math.min(substitutionCost, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[to.length] ?? Infinity;
}

/**
 * Finds the valid name that is most similar to a misspelt one.
 *
 * @param word - name as written in the file.
 * @param names - valid names.
 * @returns The most similar name, or `undefined` if none is similar enough.
 */
export function nearestName(word: string, names: readonly string[]): string | undefined {
  const limit = Math.min(MAXIMUM_DISTANCE, Math.ceil(word.length / 2));
  const [nearest] = names
    .map((name) => ({ name, distance: editDistance(word.toLowerCase(), name.toLowerCase()) }))
    .filter(({ distance }) => distance <= limit)
    .sort((a, b) => a.distance - b.distance);
  return nearest?.name;
}

function schemaOfKey(
  possible: readonly SchemaNode[],
  key: string,
): SchemaNode | 'unknown' | undefined {
  const objects = possible.filter(({ type }) => type === 'object');
  // The schema expects no mapping here. Schema validation reports the wrong type, so the content is not checked.
  if (objects.length === 0) return undefined;
  for (const { properties, additionalProperties } of objects) {
    if (properties && Object.hasOwn(properties, key)) return properties[key];
    if (typeof additionalProperties === 'object') return additionalProperties;
    if (!properties && additionalProperties !== false) return undefined;
  }
  return 'unknown';
}

function knownKeys(possible: readonly SchemaNode[]): string[] {
  return possible.flatMap(({ properties }) => Object.keys(properties ?? {}));
}

/**
 * Finds all unknown keys of a value and of the values inside it.
 *
 * @param value - plain data of the settings file.
 * @param schema - schema of the value.
 * @param path - path of the value in the file.
 * @returns All unknown keys, in the order of the file.
 */
export function findUnknownKeys(
  value: unknown,
  schema: SchemaNode,
  path: SettingPath = [],
): UnknownKey[] {
  const possible = unionVariants(schema);
  if (Array.isArray(value)) {
    const { items } = possible.find((variant) => variant.items) ?? {};
    if (!items) return [];
    return value.flatMap((item, index) => findUnknownKeys(item, items, [...path, index]));
  }
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([key, child]) => {
    const childPath = [...path, key];
    const childNode = schemaOfKey(possible, key);
    if (childNode === 'unknown')
      return [{ path: childPath, suggestion: nearestName(key, knownKeys(possible)) }];
    return childNode ? findUnknownKeys(child, childNode, childPath) : [];
  });
}

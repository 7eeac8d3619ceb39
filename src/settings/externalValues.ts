/**
 * Resolves external values in a settings file: `{ fromEnvironment: NAME }` and `{ fromFile: path }`.
 *
 * They keep secrets out of the settings file, which people share, and hold what differs between instances that use the
 * same settings file. The value itself never appears in a finding.
 */
import { readFileSync, statSync } from 'node:fs';
import { dirname, resolve } from 'node:path';

import type { SettingPath } from './SettingsSource.js';
import type { SchemaNode } from './settingsSchema.js';
import { schemasAt } from './settingsSchema.js';

const FROM_ENVIRONMENT = 'fromEnvironment';
const FROM_FILE = 'fromFile';

/**
 * Maximum size in bytes of a file that holds a value. Secrets and addresses are short; anything larger is the wrong
 * file.
 */
const MAXIMUM_FILE_BYTES = 65_536;

/** Options of {@link resolveExternalValues}. */
export interface ExternalValueOptions {
  /** Path of the settings file; relative paths of `fromFile` start at its folder. */
  file: string;
  environment: Readonly<Record<string, string | undefined>>;
  schema: SchemaNode;
  /** Called for each external value that is not set or cannot be read. */
  report: (path: SettingPath, message: string) => void;
}

interface Reference {
  readonly kind: typeof FROM_ENVIRONMENT | typeof FROM_FILE;
  readonly name: string;
}

function asReference(value: object): Reference | undefined {
  const entries = Object.entries(value);
  if (entries.length !== 1) return undefined;
  const [kind, name] = entries[0] as [string, unknown];
  if (kind !== FROM_ENVIRONMENT && kind !== FROM_FILE) return undefined;
  return typeof name === 'string' ? { kind, name } : undefined;
}

function readValueFile(path: string): string | undefined {
  try {
    if (statSync(path).size > MAXIMUM_FILE_BYTES) return undefined;
    return readFileSync(path, 'utf8').trim();
  } catch {
    return undefined;
  }
}

/**
 * Converts the text of an external value to the number, boolean or list that the schema expects; text that does not
 * convert stays text.
 */
function coerceText(text: string, path: SettingPath, schema: SchemaNode): unknown {
  const types = new Set(schemasAt(schema, path).map(({ type }) => type));
  if (types.has('string')) return text;
  if (types.has('array')) return text.split(',').map((part) => part.trim());
  if (types.has('boolean') && (text === 'true' || text === 'false')) return text === 'true';
  if (!types.has('integer') && !types.has('number')) return text;
  return Number.isFinite(Number(text)) ? Number(text) : text;
}

function readReference(
  { kind, name }: Reference,
  path: SettingPath,
  { file, environment, schema, report }: ExternalValueOptions,
): unknown {
  if (kind === FROM_FILE) {
    const text = readValueFile(resolve(dirname(file), name));
    if (text !== undefined) return coerceText(text, path, schema);
    report(path, `the file ${name} cannot be read or is larger than ${MAXIMUM_FILE_BYTES} bytes`);
    return undefined;
  }
  const text = environment[name];
  if (text !== undefined && text !== '') return coerceText(text, path, schema);
  report(path, `the environment variable ${name} is not set`);
  return undefined;
}

/**
 * Replaces references to external values by the values. One that is unavailable becomes `undefined` and is reported.
 *
 * @param content - plain data of the settings file.
 * @param options - sources of the values, schema and callback.
 * @returns A copy of the data with the values filled in.
 */
export function resolveExternalValues(content: unknown, options: ExternalValueOptions): unknown {
  const visit = (value: unknown, path: SettingPath): unknown => {
    if (Array.isArray(value)) return value.map((item, index) => visit(item, [...path, index]));
    if (typeof value !== 'object' || value === null) return value;
    const reference = asReference(value);
    if (reference) return readReference(reference, path, options);
    const entries = Object.entries(value);
    return Object.fromEntries(entries.map(([key, child]) => [key, visit(child, [...path, key])]));
  };
  return visit(content, []);
}

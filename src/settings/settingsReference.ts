/**
 * Generates the reference page of the settings from their schema.
 */
import type { AnyFeature } from '../features/Feature.js';
import { buildSettingsSchema, unionVariants } from './settingsSchema.js';
import type { SchemaNode } from './settingsSchema.js';

/** One row of the reference table. */
interface SettingRow {
  readonly name: string;
  readonly type: string;
  readonly standard: string;
  readonly description: string;
}

/** Bounds that zod adds to every integer schema; they are left out, because no feature has set them. */
const IMPLIED_BOUNDS: ReadonlySet<number> = new Set([
  Number.MAX_SAFE_INTEGER,
  Number.MIN_SAFE_INTEGER,
]);

const NUMBER_NAMES: Readonly<Record<string, string>> = {
  integer: 'whole number',
  number: 'number',
};

function isExplicitBound(bound: number | undefined): bound is number {
  return bound !== undefined && !IMPLIED_BOUNDS.has(bound);
}

function formatRange(node: SchemaNode): string {
  const { minimum, maximum, exclusiveMinimum, exclusiveMaximum } = node;
  const parts = [
    isExplicitBound(minimum) && `from ${minimum}`,
    isExplicitBound(exclusiveMinimum) && `above ${exclusiveMinimum}`,
    isExplicitBound(maximum) && `up to ${maximum}`,
    isExplicitBound(exclusiveMaximum) && `below ${exclusiveMaximum}`,
  ];
  return parts.filter(Boolean).join(' ');
}

function formatType(node: SchemaNode): string {
  const alternatives = node.anyOf ?? node.oneOf;
  if (alternatives) return [...new Set(unionVariants(node).map(formatType))].join(' or ');
  if (node.enum) return node.enum.map((value) => `\`${String(value)}\``).join(', ');
  if (node.const !== undefined) return `\`${String(node.const)}\``;
  if (node.format === 'ipv4' || node.format === 'ipv6') return 'IP number';
  if (node.type === 'array') return `list of ${node.items ? formatType(node.items) : 'values'}`;
  if (node.type === 'object') return 'mapping';
  const name = NUMBER_NAMES[node.type ?? ''];
  if (name !== undefined) return `${name} ${formatRange(node)}`.trimEnd();
  if (node.type === 'boolean') return '`true`, `false`';
  return node.type === 'string' ? 'text' : 'any value';
}

function isRequired(parent: SchemaNode, key: string): boolean {
  return parent.required?.includes(key) ?? false;
}

function formatDefault(node: SchemaNode, required: boolean): string {
  if (node.default !== undefined) return `\`${JSON.stringify(node.default)}\``;
  return required ? 'required' : '';
}

/**
 * Lists a field and all fields inside it. Fields of list entries are named `name[]`, those of mapping values
 * `name.<key>`.
 */
function settingRows(name: string, node: SchemaNode, required: boolean): SettingRow[] {
  const ownRow = {
    name,
    type: formatType(node),
    standard: formatDefault(node, required),
    description: node.description ?? '',
  };
  const nestedRows = unionVariants(node).flatMap((variant) => {
    const { items, additionalProperties } = variant;
    if (items)
      return settingRows(`${name}[]`, items, false).filter((row) => row.name !== `${name}[]`);
    const entries = Object.entries(variant.properties ?? {}).flatMap(([key, child]) =>
      settingRows(`${name}.${key}`, child, isRequired(variant, key)),
    );
    if (typeof additionalProperties !== 'object') return entries;
    return [...entries, ...settingRows(`${name}.<key>`, additionalProperties, false)];
  });
  return [ownRow, ...nestedRows];
}

function sectionRows(name: string, section: SchemaNode): SettingRow[] {
  return settingRows(name, section, false).filter((row) => row.name !== name);
}

function escapeCell(text: string): string {
  return text.replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function formatRow({ name, type, standard, description }: SettingRow): string {
  return `| \`${name}\` | ${escapeCell(type)} | ${escapeCell(standard)} | ${escapeCell(description)} |`;
}

const INTRODUCTION = `# Settings

Generated from the code by \`npm run docs\`; do not edit by hand.

\`baobabdock serve FILE\` reads one YAML file with a section for each feature; \`baobabdock check FILE\` lists
all its mistakes with file, line, column and field. \`examples/\` holds a file for each firm.

## Values from outside

In place of any value, \`{ fromEnvironment: NAME }\` takes it from an environment variable and
\`{ fromFile: path }\` from a file (a relative path starts at the settings file's folder). Secrets belong
there: a value from outside is never printed. Where a number, a boolean or a list is expected, the text is
read as one; the entries of a list are separated by commas. One settings file can so serve all instances
of a data centre.
`;

/**
 * Lists the settings that have no description.
 *
 * @param features - registered features.
 * @returns Full names of these settings; empty when the reference is complete.
 */
export function undescribedSettings(features: readonly AnyFeature[]): string[] {
  const { properties = {} } = buildSettingsSchema(features);
  return Object.entries(properties)
    .flatMap(([name, section]) => sectionRows(name, section))
    .filter(({ description }) => description.trim() === '')
    .map(({ name }) => name);
}

/**
 * Generates the page `docs/SETTINGS.md`.
 *
 * @param features - registered features.
 * @returns The page as Markdown.
 */
export function formatSettingsReference(features: readonly AnyFeature[]): string {
  const { properties = {} } = buildSettingsSchema(features);
  const sections = Object.entries(properties).flatMap(([name, section]) => [
    `## ${name}`,
    '',
    '| setting | type | default | description |',
    '| --- | --- | --- | --- |',
    ...sectionRows(name, section).map(formatRow),
    '',
  ]);
  return [INTRODUCTION, ...sections].join('\n');
}

/**
 * Parses the YAML text of a settings file and keeps the source position of each field, so that findings can name
 * line and column.
 */
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml';
import type { Document, Node, Pair } from 'yaml';

import type { FindingPlace, Findings } from '../findings/Findings.js';

/** Path of a field from the root of the file: mapping keys and list indexes. */
export type SettingPath = readonly (string | number)[];

/** Which part of a field a finding points at: its key or its value. */
export type FieldPart = 'key' | 'value';

/**
 * Maximum number of times that YAML aliases may expand nodes; without it a few lines of nested aliases could exhaust
 * memory.
 */
const MAXIMUM_ALIAS_COUNT = 100;

/** Parser error code after which the rest of the file can still be read; all other parser errors make it unreadable. */
const DUPLICATE_KEY = 'DUPLICATE_KEY';

const IDENTIFIER = /^[A-Za-z_$][\w$-]*$/u;

/**
 * Formats a path in dotted notation, for example `operators.tokens[2].name`.
 *
 * @param path - path to format.
 * @returns The formatted path; the empty string for the root.
 */
export function formatPath(path: SettingPath): string {
  return path
    .map((key, index) => {
      if (typeof key === 'number') return `[${key}]`;
      if (!IDENTIFIER.test(key)) return `[${JSON.stringify(key)}]`;
      return index === 0 ? key : `.${key}`;
    })
    .join('');
}

function startOffset(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}

/** One parsed settings file: its content as plain data, and the position of each field. */
export class SettingsSource {
  /** Whether the text is valid YAML apart from duplicate keys. */
  readonly isValidYaml: boolean;

  private readonly file: string;

  private readonly lineCounter = new LineCounter();

  private readonly document: Document.Parsed;

  /**
   * @param file - name of the file, for findings.
   * @param text - content of the file.
   * @param findings - collects the parser's errors and warnings.
   */
  constructor(file: string, text: string, findings: Findings) {
    this.file = file;
    this.document = parseDocument(text, { lineCounter: this.lineCounter, prettyErrors: false });
    const { errors, warnings } = this.document;
    for (const { code, message, pos } of [...errors, ...warnings]) {
      const explanation = code === DUPLICATE_KEY ? 'duplicate key in this mapping' : message;
      findings.add(this.placeAt(pos[0]), explanation);
    }
    this.isValidYaml = errors.every(({ code }) => code === DUPLICATE_KEY);
  }

  /**
   * @returns The content as plain data.
   * @throws {@link Error} when aliases are expanded more than {@link MAXIMUM_ALIAS_COUNT} times.
   */
  toData(): unknown {
    return this.document.toJS({ maxAliasCount: MAXIMUM_ALIAS_COUNT });
  }

  /**
   * Finds the position of a field. For a missing field this is the position of its nearest existing parent.
   *
   * @param path - path of the field.
   * @param part - whether to locate the key or the value.
   * @returns File, line, column and the field's path.
   */
  place(path: SettingPath, part: FieldPart = 'value'): FindingPlace {
    const field = formatPath(path);
    const offset = this.offsetOf(path, part);
    return { ...this.placeAt(offset), ...(field === '' ? {} : { field }) };
  }

  private placeAt(offset: number): FindingPlace {
    const { line, col } = this.lineCounter.linePos(offset);
    return { file: this.file, line: Math.max(1, line), column: Math.max(1, col) };
  }

  private offsetOf(path: SettingPath, part: FieldPart): number {
    let node: unknown = this.document.contents;
    let offset = startOffset(node) ?? 0;
    for (const [index, key] of path.entries()) {
      const pair = this.findPair(node, key);
      if (!pair) return offset;
      const isLast = index === path.length - 1;
      const keyStart = startOffset(pair.key);
      const valueStart = startOffset(pair.value);
      // If the next part of the path is missing, the finding points at this key.
      offset = (isLast && part === 'value' ? valueStart : keyStart) ?? valueStart ?? offset;
      node = pair.value;
    }
    return offset;
  }

  private findPair(parent: unknown, key: string | number): Pair | undefined {
    const node = isAlias(parent) ? parent.resolve(this.document) : parent;
    if (isMap(node)) {
      return node.items.find((pair) => String(isScalar(pair.key) ? pair.key.value : '') === key);
    }
    if (!isSeq(node) || typeof key !== 'number') return undefined;
    const item = node.items[key];
    return item === undefined ? undefined : ({ key: item, value: item } as Pair);
  }
}

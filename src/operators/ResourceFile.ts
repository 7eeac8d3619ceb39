/**
 * A YAML file of resources: parses them and finds the line and column of each field.
 */
import type { JsonObject, JsonValue } from '@bufbuild/protobuf';
import { create, fromJson } from '@bufbuild/protobuf';
import type { Document, Node } from 'yaml';
import { LineCounter, isMap, isNode, isScalar, isSeq, parseDocument } from 'yaml';

import type { Finding, FindingPlace } from '../findings/Findings.js';
import { Findings } from '../findings/Findings.js';
import type { Resource } from '../generated/baobabdock/v1/operators_pb.js';
import { ResourceSchema } from '../generated/baobabdock/v1/operators_pb.js';
import { RESOURCE_CASES, RESOURCE_SCHEMAS, findField, checkFieldValue } from './resourceFields.js';
import type { ResourceKind } from './resourceKinds.js';

/** Sections of a file with the kind of resource that each holds, in the order in which messages list them. */
const SECTIONS: Readonly<Record<string, ResourceKind>> = {
  clientAccounts: 'client_account',
  services: 'service',
  modelVersions: 'model_version',
  routingPolicies: 'routing_policy',
};

/** The names of the sections. */
export const RESOURCE_SECTIONS: readonly string[] = Object.keys(SECTIONS);

/** Matches a field path of a request, for example `resources[3].clientAccount.weight`: the index, and `weight`. */
const RESOURCE_FIELD = /^resources\[(\d+)\](?:\.[A-Za-z]+)?\.?(.*)$/u;

/** Key in a map or index in a list. */
type PathStep = string | number;

function fieldOfPath(path: readonly PathStep[]): string {
  return path
    .map((step, position) => {
      if (typeof step === 'number') return `[${step}]`;
      return position === 0 ? step : `.${step}`;
    })
    .join('');
}

/** A parsed file with its resources and the errors found in it. */
export class ResourceFile {
  /** The resources in the order of the file; incomplete if there are findings. */
  readonly resources: Resource[] = [];

  private readonly collectedFindings = new Findings();

  private readonly lines = new LineCounter();

  private readonly document: Document.Parsed;

  /** The path of each resource's node in the document, by the index of the resource. */
  private readonly resourcePaths: PathStep[][] = [];

  /**
   * Parses a file. Errors in it are collected as findings.
   *
   * @param text - the file's content.
   * @param file - the file's name, for findings.
   */
  constructor(
    text: string,
    private readonly file: string,
  ) {
    this.document = parseDocument(text, { lineCounter: this.lines, uniqueKeys: true });
    for (const error of [...this.document.errors, ...this.document.warnings]) {
      const [offset] = error.pos;
      const { line, col } = this.lines.linePos(offset);
      const [message = error.message] = error.message.split('\n');
      this.collectedFindings.add({ file, line, column: col }, message);
    }
    if (this.document.errors.length === 0) this.readSections();
  }

  /** @returns Every error in the file, each with line and column. */
  findings(): readonly Finding[] {
    return this.collectedFindings.list();
  }

  /**
   * Finds the place in the file of a field that a daemon names in an error.
   *
   * @param field - path of the field in the request, for example `resources[3].clientAccount.weight`.
   * @returns File, line and column of the nearest node that exists, and the path of the field in the file.
   */
  placeOfRequestField(field: string): FindingPlace {
    const [, position = '', rest = ''] = RESOURCE_FIELD.exec(field) ?? [];
    const path = this.resourcePaths[Number(position)];
    if (position === '' || !path) return { file: this.file, field };
    const steps = rest.split(/[.[\]]/u).filter((step) => step !== '');
    return this.placeOfPath([
      ...path,
      ...steps.map((step) => (/^\d+$/u.test(step) ? Number(step) : step)),
    ]);
  }

  private readSections(): void {
    const root = this.document.contents;
    if (!isMap(root)) {
      const known = RESOURCE_SECTIONS.join(', ');
      this.collectedFindings.add({ file: this.file, line: 1, column: 1 }, `has to hold ${known}`);
      return;
    }
    for (const { key } of root.items) {
      const name = isScalar(key) ? String(key.value) : '';
      const kind = Object.hasOwn(SECTIONS, name) ? SECTIONS[name] : undefined;
      if (kind) this.readSection(name, kind);
      else {
        const known = RESOURCE_SECTIONS.join(', ');
        this.collectedFindings.add(this.placeOfNode(key, name), `is unknown; there are ${known}`);
      }
    }
  }

  private readSection(name: string, kind: ResourceKind): void {
    const section = this.document.get(name, true);
    if (!isSeq(section)) {
      this.collectedFindings.add(this.placeOfPath([name]), 'has to be a list');
      return;
    }
    section.items.forEach((item, position) => {
      const path = [name, position];
      if (isMap(item)) this.readResource(path, kind);
      else this.collectedFindings.add(this.placeOfPath(path), 'has to hold fields');
    });
  }

  private readResource(path: PathStep[], kind: ResourceKind): void {
    const node = this.document.getIn(path, true);
    if (!isMap(node)) return;
    const json: JsonObject = {};
    for (const { key } of node.items) {
      const name = isScalar(key) ? String(key.value) : '';
      const value = this.readField([...path, name], kind, name, key);
      if (value !== undefined) json[name] = value;
    }
    if (typeof json.name !== 'string' || json.name === '') {
      this.collectedFindings.add({ ...this.placeOfPath(path) }, 'needs a name');
      return;
    }
    const message = fromJson(RESOURCE_SCHEMAS[kind], json);
    const resource = { case: RESOURCE_CASES[kind], value: message } as Resource['resource'];
    this.resources.push(create(ResourceSchema, { resource }));
    this.resourcePaths.push(path);
  }

  private readField(
    path: PathStep[],
    kind: ResourceKind,
    name: string,
    key: unknown,
  ): JsonValue | undefined {
    const field = findField(RESOURCE_SCHEMAS[kind], name);
    if (typeof field === 'string') {
      this.collectedFindings.add(this.placeOfNode(key, fieldOfPath(path)), field);
      return undefined;
    }
    const node = this.document.getIn(path, true);
    const value = this.valueOf(node);
    const mistakes = checkFieldValue(field, value);
    for (const { position, message } of mistakes) {
      const place = position === undefined ? path : [...path, position];
      this.collectedFindings.add(this.placeOfPath(place), message);
    }
    return mistakes.length > 0 ? undefined : (value as JsonValue);
  }

  private valueOf(node: unknown): unknown {
    if (!isNode(node)) return node;
    try {
      return node.toJS(this.document);
    } catch {
      // The library throws on aliases that expand exponentially. No field has such a value, so it is reported as wrong.
      return undefined;
    }
  }

  private placeOfPath(path: PathStep[]): FindingPlace {
    for (let { length } = path; length > 0; length -= 1) {
      const node = this.document.getIn(path.slice(0, length), true);
      if (isNode(node) && node.range) return this.placeOfNode(node, fieldOfPath(path));
    }
    return { file: this.file, field: fieldOfPath(path) };
  }

  private placeOfNode(node: unknown, field: string): FindingPlace {
    const offset = (node as Node).range?.[0];
    if (offset === undefined) return { file: this.file, field };
    const { line, col } = this.lines.linePos(offset);
    return { file: this.file, line, column: col, field };
  }
}

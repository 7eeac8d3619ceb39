/**
 * The commands `list`, `read`, `create`, `change` and `remove` for each kind of resource.
 */
import type { JsonObject } from '@bufbuild/protobuf';
import { create, fromJson, toJson } from '@bufbuild/protobuf';
import { Option } from 'clipanion';
import type { CommandClass } from 'clipanion';
import { stringify } from 'yaml';

import type { Finding } from '../../findings/Findings.js';
import type { Resource } from '../../generated/baobabdock/v1/operators_pb.js';
import {
  ListResponseSchema,
  ReadResponseSchema,
  ResourceSchema,
  ResourceService,
} from '../../generated/baobabdock/v1/operators_pb.js';
import {
  RESOURCE_CASES,
  RESOURCE_SCHEMAS,
  findField,
  parseFieldValue,
  checkFieldValue,
  writableFields,
} from '../../operators/resourceFields.js';
import type { ResourceKind } from '../../operators/resourceKinds.js';
import { EXIT_FAILURE, EXIT_SUCCESS } from '../ProgramCommand.js';
import { ChangingCommand } from './ChangingCommand.js';
import { OperatorCommand, operatorUsage } from './OperatorCommand.js';

/** How one kind of resource appears on the command line. */
export interface ResourceNoun {
  readonly kind: ResourceKind;
  /** For example `accounts`. */
  readonly plural: string;
  /** For example `client account`. */
  readonly singular: string;
  /** Fields shown by `list` after the name. */
  readonly columns: readonly string[];
  /** Name used in the examples of the help. */
  readonly exampleName: string;
  /** Fields used in the examples of the help. */
  readonly exampleSettings: string;
}

/** The kinds of resources, by their names on the command line. */
export const RESOURCE_NOUNS: readonly ResourceNoun[] = [
  {
    kind: 'client_account',
    plural: 'accounts',
    singular: 'client account',
    columns: ['firm', 'highestPriority', 'weight', 'maximumConcurrentRequests', 'services'],
    exampleName: 'showroom-rosario',
    exampleSettings: '--set firm=litoral --set weight=2',
  },
  {
    kind: 'service',
    plural: 'services',
    singular: 'service',
    columns: ['firm', 'kind', 'model', 'wantedVersion', 'pathPrefix', 'routingPolicy'],
    exampleName: 'tile-sales',
    exampleSettings: '--set kind=engine --set model=tile-sales --set routingPolicy=reuse',
  },
  {
    kind: 'model_version',
    plural: 'versions',
    singular: 'model version',
    columns: ['model', 'version', 'weightBytes', 'state'],
    exampleName: 'tile-sales-2',
    exampleSettings: '--set model=tile-sales --set version=2 --set state=available',
  },
  {
    kind: 'routing_policy',
    plural: 'policies',
    singular: 'routing policy',
    columns: ['bound', 'reuseWeight', 'warmChoices', 'coldChoices', 'overflow'],
    exampleName: 'reuse',
    exampleSettings: '--set bound=1.3 --set reuseWeight=0.9',
  },
];

function fieldsOf(resource: Resource | undefined): JsonObject {
  const value = resource?.resource;
  if (!value || value.case === undefined) return {};
  const json = toJson(ResourceSchema, create(ResourceSchema, { resource: value }), {
    alwaysEmitImplicit: true,
  }) as JsonObject;
  const { keys, ...fields } = json[value.case] as JsonObject;
  if (!Array.isArray(keys)) return fields;
  // Key hashes are left out: the ids already identify the keys.
  return { ...fields, keyIds: keys.map((key) => (key as JsonObject).keyId ?? '') };
}

function cellOf(value: unknown): string {
  return Array.isArray(value) ? value.join(',') : String(value ?? '');
}

function listCommand(noun: ResourceNoun): CommandClass {
  return class ListCommand extends OperatorCommand {
    static override paths = [['operator', noun.plural, 'list']];

    static override usage = operatorUsage({
      description: `List ${noun.plural}.`,
      details: `Shows every ${noun.singular} in force on the daemon that answers.`,
      examples: [
        ['As a table', `$0 operator ${noun.plural} list`],
        ['For a program', `$0 operator ${noun.plural} list --json`],
      ],
    });

    protected override async run(): Promise<number> {
      const client = await this.client();
      const resources: Resource[] = [];
      for (;;) {
        const afterName = resources.at(-1)?.resource.value?.name ?? '';
        const answer = await client.call(ResourceService, (calls) =>
          calls.list({ kind: noun.kind, afterName }),
        );
        if (this.json) this.printJson(ListResponseSchema, answer);
        resources.push(...answer.resources);
        if (!answer.more) break;
      }
      if (this.json) return EXIT_SUCCESS;
      const rows = resources.map(fieldsOf);
      this.printTable(
        ['name', ...noun.columns],
        rows.map((fields) => ['name', ...noun.columns].map((column) => cellOf(fields[column]))),
      );
      return EXIT_SUCCESS;
    }
  };
}

function readCommand(noun: ResourceNoun): CommandClass {
  return class ReadCommand extends OperatorCommand {
    static override paths = [['operator', noun.plural, 'read']];

    static override usage = operatorUsage({
      description: `Show one ${noun.singular}.`,
      details: 'Prints all its fields, and the revision at which it changed last.',
      examples: [['One', `$0 operator ${noun.plural} read ${noun.exampleName}`]],
    });

    name = Option.String();

    protected override async run(): Promise<number> {
      const client = await this.client();
      const answer = await client.call(ResourceService, (calls) =>
        calls.read({ kind: noun.kind, name: this.name }),
      );
      if (this.json) {
        this.printJson(ReadResponseSchema, answer);
        return EXIT_SUCCESS;
      }
      const { changedRevision, revision } = answer;
      this.print(`# changed in revision ${changedRevision}; in force: revision ${revision}`);
      this.context.stdout.write(stringify(fieldsOf(answer.resource)));
      return EXIT_SUCCESS;
    }
  };
}

/** Base of `create` and `change`: sets fields with `--set`. */
abstract class SettingCommand extends ChangingCommand {
  name = Option.String();

  set = Option.Array('--set', [], {
    description: 'field=value, several times; items of a list with commas between.',
  });

  protected abstract readonly noun: ResourceNoun;

  /**
   * @param findings - receives every error in `--set`.
   * @returns The fields given by `--set`.
   */
  protected settings(findings: Finding[]): JsonObject {
    const schema = RESOURCE_SCHEMAS[this.noun.kind];
    const fields: JsonObject = {};
    for (const setting of this.set) {
      const separator = setting.indexOf('=');
      const name = separator < 0 ? setting : setting.slice(0, separator);
      const field = findField(schema, name);
      if (typeof field === 'string') {
        findings.push({ place: { field: name }, message: field });
        continue;
      }
      const value = parseFieldValue(field, separator < 0 ? '' : setting.slice(separator + 1));
      for (const { message } of checkFieldValue(field, value)) {
        findings.push({ place: { field: name }, message });
      }
      fields[name] = value;
    }
    return fields;
  }

  protected resource(fields: JsonObject): Resource {
    const { kind } = this.noun;
    const value = fromJson(RESOURCE_SCHEMAS[kind], { ...fields, name: this.name });
    return create(ResourceSchema, {
      resource: { case: RESOURCE_CASES[kind], value } as Resource['resource'],
    });
  }
}

function fieldHelp(noun: ResourceNoun): string {
  const names = writableFields(RESOURCE_SCHEMAS[noun.kind]).map(({ localName }) => localName);
  return `Fields: ${names.filter((name) => name !== 'name').join(', ')}.`;
}

function createCommand(noun: ResourceNoun): CommandClass {
  return class CreateCommand extends SettingCommand {
    static override paths = [['operator', noun.plural, 'create']];

    static override usage = operatorUsage({
      description: `Create a ${noun.singular}.`,
      details: `Fails when there is one of that name. ${fieldHelp(noun)}`,
      examples: [
        ['Create', `$0 operator ${noun.plural} create ${noun.exampleName} ${noun.exampleSettings}`],
      ],
    });

    protected readonly noun = noun;

    protected override async run(): Promise<number> {
      const findings: Finding[] = [];
      const fields = this.settings(findings);
      if (findings.length > 0) {
        this.complainOf(findings);
        return EXIT_FAILURE;
      }
      const client = await this.client();
      const request = { origin: this.origin(), resource: this.resource(fields) };
      const answer = await client.call(ResourceService, (calls) => calls.create(request));
      return this.concluded(client, answer);
    }
  };
}

function changeCommand(noun: ResourceNoun): CommandClass {
  return class ChangeCommand extends SettingCommand {
    static override paths = [['operator', noun.plural, 'change']];

    static override usage = operatorUsage({
      description: `Change a ${noun.singular}.`,
      details: `Sets the fields named and leaves the others. When somebody else changes it meanwhile, nothing is changed and the newer value is shown. ${fieldHelp(noun)}`,
      examples: [
        [
          'Change, and return when it is in force everywhere',
          `$0 operator ${noun.plural} change ${noun.exampleName} ${noun.exampleSettings} --wait`,
        ],
      ],
    });

    protected readonly noun = noun;

    protected override async run(): Promise<number> {
      const findings: Finding[] = [];
      const fields = this.settings(findings);
      if (findings.length > 0) {
        this.complainOf(findings);
        return EXIT_FAILURE;
      }
      const client = await this.client();
      const read = await client.call(ResourceService, (calls) =>
        calls.read({ kind: noun.kind, name: this.name }),
      );
      const { keyIds, ...before } = fieldsOf(read.resource);
      const request = {
        origin: this.origin(),
        resource: this.resource({ ...before, ...fields }),
        expectedRevision: read.changedRevision,
      };
      const answer = await client.call(ResourceService, (calls) => calls.change(request));
      return this.concluded(client, answer);
    }
  };
}

function removeCommand(noun: ResourceNoun): CommandClass {
  return class RemoveCommand extends ChangingCommand {
    static override paths = [['operator', noun.plural, 'remove']];

    static override usage = operatorUsage({
      description: `Remove a ${noun.singular}.`,
      details: 'Fails while something else names it.',
      examples: [['Remove', `$0 operator ${noun.plural} remove ${noun.exampleName}`]],
    });

    name = Option.String();

    protected override async run(): Promise<number> {
      const client = await this.client();
      const request = { origin: this.origin(), kind: noun.kind, name: this.name };
      const answer = await client.call(ResourceService, (calls) => calls.remove(request));
      return this.concluded(client, answer);
    }
  };
}

/** The commands for all kinds of resources. */
export const resourceCommands: readonly CommandClass[] = RESOURCE_NOUNS.flatMap((noun) =>
  [listCommand, readCommand, createCommand, changeCommand, removeCommand].map((make) => make(noun)),
);

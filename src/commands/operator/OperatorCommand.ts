/**
 * Base of the commands for operators: endpoints, token and output format.
 */
import { readFile } from 'node:fs/promises';

import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJsonString } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { Command, Option, UsageError } from 'clipanion';

import type { Finding } from '../../findings/Findings.js';
import {
  ConflictSchema,
  FindingListSchema,
  ResourceSchema,
} from '../../generated/baobabdock/v1/operators_pb.js';
import { OperatorClient } from '../../operators/OperatorClient.js';
import { EXIT_FAILURE, ProgramCommand } from '../ProgramCommand.js';
import { formatTable } from './formatTable.js';

/** Environment variable with the daemons' addresses, separated by commas; used without `--endpoint`. */
const ENDPOINTS_VARIABLE = 'BAOBABDOCK_ENDPOINTS';

const TOKEN_VARIABLE = 'BAOBABDOCK_TOKEN';

const TOKEN_FILE_VARIABLE = 'BAOBABDOCK_TOKEN_FILE';

const DEFAULT_ENDPOINT = 'http://127.0.0.1:8090';

const CONNECTIONS = `
  Without \`--endpoint\`, \`${ENDPOINTS_VARIABLE}\` names the daemons (URLs with commas between), else ${DEFAULT_ENDPOINT}.
  The token is read from \`--token-file\`, from the file that \`${TOKEN_FILE_VARIABLE}\` names, or from \`${TOKEN_VARIABLE}\`;
  never from the command line, which other users of the machine can see.`;

/** Help of one command; the options for the connection are added to it. */
export interface OperatorUsage {
  description: string;
  details: string;
  examples: [string, string][];
}

/**
 * @param usage - the help of the command.
 * @returns The help in the category of the commands for operators.
 */
export function operatorUsage({ description, details, examples }: OperatorUsage) {
  return Command.Usage({
    category: 'Operators',
    description,
    details: `${details}\n${CONNECTIONS}`,
    examples,
  });
}

/** Base of the commands for operators; subclasses make the calls. */
export abstract class OperatorCommand extends ProgramCommand {
  endpoint = Option.Array('--endpoint', {
    description: 'A daemon, for example http://10.0.0.1:8090; may be given several times.',
  });

  tokenFile = Option.String('--token-file', { description: 'A file that holds the token.' });

  json = Option.Boolean('--json', false, { description: 'Print JSON for programs.' });

  /** @returns The exit code; 0 for success. */
  protected abstract run(): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run();
    } catch (error) {
      if (error instanceof UsageError) throw error;
      if (!(error instanceof ConnectError)) throw error;
      this.printRefusal(error);
      return EXIT_FAILURE;
    }
  }

  /** @returns A client with the endpoints and the token from the options or the environment. */
  protected async client(): Promise<OperatorClient> {
    return new OperatorClient({ endpoints: this.endpoints(), token: await this.token() });
  }

  /** @returns The endpoints of the daemons to call. */
  protected endpoints(): string[] {
    const named = this.context.env[ENDPOINTS_VARIABLE]?.split(',') ?? [DEFAULT_ENDPOINT];
    const endpoints = (this.endpoint ?? named).map((endpoint) => endpoint.trim()).filter(Boolean);
    const bad = endpoints.find((endpoint) => !/^https?:\/\//u.test(endpoint));
    if (bad) throw new UsageError(`${bad} is no URL such as http://10.0.0.1:8090`);
    return endpoints;
  }

  /**
   * @param schema - the schema of the message.
   * @param message - the answer of a daemon.
   */
  protected printJson<Schema extends DescMessage>(
    schema: Schema,
    message: MessageShape<Schema>,
  ): void {
    const text = toJsonString(schema, message, { alwaysEmitImplicit: true });
    this.print(text);
  }

  /**
   * @param headings - headings of the columns.
   * @param rows - the cells of each row.
   */
  protected printTable(headings: readonly string[], rows: readonly (readonly string[])[]): void {
    this.context.stdout.write(formatTable(headings, rows));
  }

  /**
   * Gives the place of a field that a daemon's error names; overridden by commands that send a file.
   *
   * @param field - a field of the request.
   * @returns The place for the finding.
   */
  protected placeOf(field: string): Finding['place'] {
    return { field };
  }

  private printRefusal(error: ConnectError): void {
    const [list] = error.findDetails(FindingListSchema);
    if (list) {
      const findings = list.findings.map(({ field, message }) => ({
        place: this.placeOf(field),
        message,
      }));
      this.complainOf(findings);
      return;
    }
    this.complain(`${Code[error.code]}: ${error.rawMessage}`);
    const [conflict] = error.findDetails(ConflictSchema);
    if (!conflict) return;
    const { changedBy, current, changedRevision } = conflict;
    if (changedBy) {
      const { operator, reason, revision } = changedBy;
      this.complain(`Changed by ${operator} in revision ${revision}: ${reason}`);
    }
    if (!current) return;
    const text = toJsonString(ResourceSchema, current, { prettySpaces: 2 });
    this.complain(`Now, as of revision ${changedRevision}:\n${text}`);
  }

  private async token(): Promise<string> {
    const { env } = this.context;
    const file = this.tokenFile ?? env[TOKEN_FILE_VARIABLE];
    if (file === undefined) {
      const token = env[TOKEN_VARIABLE]?.trim();
      if (token) return token;
      throw new UsageError(`A token is needed: --token-file FILE or ${TOKEN_VARIABLE}`);
    }
    try {
      return (await readFile(file, 'utf8')).trim();
    } catch (cause) {
      throw new UsageError(`The token cannot be read from ${file}: ${(cause as Error).message}`);
    }
  }
}

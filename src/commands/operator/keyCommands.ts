/**
 * `baobabdock operator keys …` and `operator token create`.
 */
import { Command, Option } from 'clipanion';

import { CreateKeyResponseSchema, KeyService } from '../../generated/baobabdock/v1/operators_pb.js';
import { createOperatorToken } from '../../operators/OperatorTokens.js';
import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from '../ProgramCommand.js';
import { ChangingCommand } from './ChangingCommand.js';
import { operatorUsage } from './OperatorCommand.js';

/** Creates a key for a client account and prints it; it cannot be read again later. */
export class CreateKeyCommand extends ChangingCommand {
  static override paths = [['operator', 'keys', 'create']];

  static override usage = operatorUsage({
    description: 'Make a key for a client account.',
    details:
      'Prints the key on the first line; it is shown this once, only its salted hash is kept. To replace a key: make a new one, hand it out, remove the old one.',
    examples: [['Make one', '$0 operator keys create showroom-rosario --wait']],
  });

  account = Option.String();

  protected override async run(): Promise<number> {
    const client = await this.client();
    const request = { origin: this.origin(), clientAccount: this.account };
    const answer = await client.call(KeyService, (calls) => calls.createKey(request));
    if (this.json) this.printJson(CreateKeyResponseSchema, answer);
    else {
      this.print(answer.key);
      this.print(`key id ${answer.keyId}, revision ${answer.revision}`);
    }
    return this.wait ? this.waitFor(client, answer.revision) : EXIT_SUCCESS;
  }
}

/** Revokes a key of a client account. */
export class RemoveKeyCommand extends ChangingCommand {
  static override paths = [['operator', 'keys', 'remove']];

  static override usage = operatorUsage({
    description: 'Remove a key of a client account.',
    details: '`operator accounts read` shows the ids of an account’s keys.',
    examples: [['Remove one', '$0 operator keys remove showroom-rosario 5f2a90c1d3e4']],
  });

  account = Option.String();

  keyId = Option.String();

  protected override async run(): Promise<number> {
    const client = await this.client();
    const { account: clientAccount, keyId } = this;
    const request = { origin: this.origin(), clientAccount, keyId };
    const answer = await client.call(KeyService, (calls) => calls.removeKey(request));
    return this.concluded(client, answer);
  }
}

/** Creates a token for an operator. Needs no daemon. */
export class CreateTokenCommand extends ProgramCommand {
  static override paths = [['operator', 'token', 'create']];

  static override usage = Command.Usage({
    category: 'Operators',
    description: 'Make a token for an operator.',
    details:
      'Prints the token, for the operator alone, and the lines for `operators.tokens` in the settings of every daemon. Nothing is sent anywhere.',
    examples: [['A token that may change things', '$0 operator token create ana --role write']],
  });

  name = Option.String();

  role = Option.String('--role', 'read', { description: 'read or write.' });

  override async execute(): Promise<number> {
    if (this.role !== 'read' && this.role !== 'write') {
      this.complain('--role has to be read or write');
      return EXIT_FAILURE;
    }
    const { token, sha256 } = createOperatorToken();
    this.print(token);
    const lines = [
      'operators:',
      '  tokens:',
      `    - name: ${JSON.stringify(this.name)}`,
      `      role: ${this.role}`,
      `      sha256: ${sha256}`,
    ];
    this.complain(lines.join('\n'));
    return EXIT_SUCCESS;
  }
}

/**
 * `baobabdock operator drain`, `lift`, `wait` and `history`.
 */
import { Option, UsageError } from 'clipanion';

import {
  FleetService,
  HistoryResponseSchema,
  ResourceService,
} from '../../generated/baobabdock/v1/operators_pb.js';
import { ChangingCommand } from './ChangingCommand.js';
import { EXIT_SUCCESS } from '../ProgramCommand.js';
import { OperatorCommand, operatorUsage } from './OperatorCommand.js';

const DEFAULT_HISTORY = '20';

/** Drains a daemon or a runner. */
export class DrainCommand extends ChangingCommand {
  static override paths = [['operator', 'drain']];

  static override usage = operatorUsage({
    description: 'Give a daemon or a runner no new work.',
    details:
      'Requests in progress finish. It holds until the daemon or runner is restarted, or until `operator lift`. A drained daemon leaves the fleet and ends.',
    examples: [
      ['A runner', '$0 operator drain runner litoral-sales-3 --reason "new memory" --wait'],
      ['A daemon', '$0 operator drain daemon litoral-1'],
    ],
  });

  kind = Option.String();

  id = Option.String();

  protected override async run(): Promise<number> {
    const client = await this.client();
    const request = { origin: this.origin(), kind: this.kind, id: this.id };
    const answer = await client.call(FleetService, (calls) => calls.drain(request));
    return this.concluded(client, answer);
  }
}

/** Ends a drain. */
export class LiftDrainCommand extends ChangingCommand {
  static override paths = [['operator', 'lift']];

  static override usage = operatorUsage({
    description: 'End the drain of a runner, so that it gets work again.',
    details: 'A daemon that has left does not come back by this; start it again.',
    examples: [['A runner', '$0 operator lift runner litoral-sales-3']],
  });

  kind = Option.String();

  id = Option.String();

  protected override async run(): Promise<number> {
    const client = await this.client();
    const request = { origin: this.origin(), kind: this.kind, id: this.id };
    const answer = await client.call(FleetService, (calls) => calls.liftDrain(request));
    return this.concluded(client, answer);
  }
}

/** Waits until a revision is in force on every daemon. */
export class WaitCommand extends ChangingCommand {
  static override paths = [['operator', 'wait']];

  static override usage = operatorUsage({
    description: 'Return when a revision is in force on every daemon.',
    details: 'Ends with 1 and names the daemons that lag when the time is up.',
    examples: [['Revision 41, at most 6 seconds', '$0 operator wait 41 --wait-seconds 6']],
  });

  revision = Option.String();

  protected override async run(): Promise<number> {
    if (!/^\d+$/u.test(this.revision)) throw new UsageError('The revision has to be a number');
    return this.waitFor(await this.client(), BigInt(this.revision));
  }
}

/** Shows the history of changes. */
export class HistoryCommand extends OperatorCommand {
  static override paths = [['operator', 'history']];

  static override usage = operatorUsage({
    description: 'Show who changed what, when and why; the newest first.',
    details: 'The history is kept with the platform and needs it to answer.',
    examples: [
      ['The last 20 changes', '$0 operator history'],
      [
        'Of one account',
        '$0 operator history --kind client_account --name showroom-rosario --maximum 100',
      ],
    ],
  });

  kind = Option.String('--kind', '', {
    description: 'client_account, service, model_version, routing_policy, drain or rollout.',
  });

  name = Option.String('--name', '', { description: 'Only changes of this name.' });

  maximum = Option.String('--maximum', DEFAULT_HISTORY, { description: 'How many.' });

  protected override async run(): Promise<number> {
    const client = await this.client();
    const request = { kind: this.kind, name: this.name, maximum: Number(this.maximum) || 0 };
    const answer = await client.call(ResourceService, (calls) => calls.history(request));
    if (this.json) {
      this.printJson(HistoryResponseSchema, answer);
      return EXIT_SUCCESS;
    }
    this.printTable(
      ['revision', 'at', 'operator', 'what', 'reason'],
      answer.entries.map(({ revision, atMilliseconds, operator, effects, reason }) => [
        String(revision),
        new Date(Number(atMilliseconds)).toISOString(),
        operator,
        effects.map(({ kind, name, effect }) => `${effect} ${kind} ${name}`).join(', '),
        reason,
      ]),
    );
    return EXIT_SUCCESS;
  }
}

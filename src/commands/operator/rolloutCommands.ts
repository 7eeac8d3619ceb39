/**
 * `baobabdock operator rollout …`.
 */
import { Option } from 'clipanion';
import type { CommandClass } from 'clipanion';

import {
  ListRolloutsResponseSchema,
  RolloutService,
} from '../../generated/baobabdock/v1/operators_pb.js';
import { ChangingCommand } from './ChangingCommand.js';
import { EXIT_SUCCESS } from '../ProgramCommand.js';
import { OperatorCommand, operatorUsage } from './OperatorCommand.js';

/** Starts a roll-out. */
export class StartRolloutCommand extends ChangingCommand {
  static override paths = [['operator', 'rollout', 'start']];

  static override usage = operatorUsage({
    description: 'Move a service’s engines to another model version.',
    details:
      'Data centre by data centre, and in each by steps: runners are drained, load the version and come back, never more than the share given away at once. It halts itself when runners fail to load. A roll-out to the version that the service has brings runners that differ into line.',
    examples: [
      ['With the defaults', '$0 operator rollout start tile-sales 2'],
      [
        'Carefully, one data centre first',
        '$0 operator rollout start tile-sales 2 --unavailable-share 0.1 --data-centre rosario-2',
      ],
    ],
  });

  service = Option.String();

  version = Option.String();

  unavailableShare = Option.String('--unavailable-share', '0', {
    description: 'Largest share of the runners away at once; 0.25 unless given.',
  });

  failures = Option.String('--failures', '0', {
    description: 'Runners that may fail to load before it halts itself; 1 unless given.',
  });

  dataCentre = Option.Array('--data-centre', [], {
    description: 'Taken first, in this order; the others follow by name.',
  });

  protected override async run(): Promise<number> {
    const client = await this.client();
    const request = {
      origin: this.origin(),
      service: this.service,
      toVersion: this.version,
      maximumUnavailableShare: Number(this.unavailableShare),
      maximumFailures: Number(this.failures),
      dataCentres: this.dataCentre,
    };
    const answer = await client.call(RolloutService, (calls) => calls.startRollout(request));
    return this.concluded(client, answer);
  }
}

interface Steering {
  readonly action: 'halt' | 'resume' | 'roll_back';
  readonly path: string;
  readonly description: string;
  readonly details: string;
}

const STEERINGS: readonly Steering[] = [
  {
    action: 'halt',
    path: 'halt',
    description: 'Halt a roll-out.',
    details: 'No further runner is taken; those under way finish their step and come back.',
  },
  {
    action: 'resume',
    path: 'resume',
    description: 'Go on with a halted roll-out.',
    details:
      'It goes on in the direction in which it was halted; for the way back use `roll-back`.',
  },
  {
    action: 'roll_back',
    path: 'roll-back',
    description: 'Take a roll-out back to the version it came from.',
    details: 'By the same careful steps, the data centre taken last first.',
  },
];

function steeringCommand({ action, path, description, details }: Steering): CommandClass {
  return class SteeringCommand extends ChangingCommand {
    static override paths = [['operator', 'rollout', path]];

    static override usage = operatorUsage({
      description,
      details,
      examples: [['Of one service', `$0 operator rollout ${path} tile-sales`]],
    });

    service = Option.String();

    protected override async run(): Promise<number> {
      const client = await this.client();
      const request = { origin: this.origin(), name: this.service, action };
      const answer = await client.call(RolloutService, (calls) => calls.steerRollout(request));
      return this.concluded(client, answer);
    }
  };
}

/** Shows roll-outs. */
export class RolloutStatusCommand extends OperatorCommand {
  static override paths = [['operator', 'rollout', 'status']];

  static override usage = operatorUsage({
    description: 'Show roll-outs and how far they are.',
    details: 'Finished ones stay until the next one of the same service.',
    examples: [['All', '$0 operator rollout status']],
  });

  service = Option.String('--service', '', { description: 'Only this service.' });

  protected override async run(): Promise<number> {
    const client = await this.client();
    const { service } = this;
    const answer = await client.call(RolloutService, (calls) => calls.listRollouts({ service }));
    if (this.json) {
      this.printJson(ListRolloutsResponseSchema, answer);
      return EXIT_SUCCESS;
    }
    this.printTable(
      ['service', 'from', 'to', 'state', 'done', 'order', 'reason'],
      answer.rollouts.map((rollout) => [
        rollout.service,
        rollout.fromVersion,
        rollout.toVersion,
        rollout.state,
        rollout.finishedDataCentres.join(','),
        rollout.dataCentres.join(','),
        rollout.reason,
      ]),
    );
    return EXIT_SUCCESS;
  }
}

/** The commands that steer a roll-out. */
export const steeringCommands: readonly CommandClass[] = STEERINGS.map(steeringCommand);

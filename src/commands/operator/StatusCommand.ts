/**
 * `baobabdock operator status`: daemons, pools, runners, gates, drains and roll-outs.
 */
import { Option } from 'clipanion';
import { Code, ConnectError } from '@connectrpc/connect';

import type { GateStatus, StatusResponse } from '../../generated/baobabdock/v1/operators_pb.js';
import { FleetService, StatusResponseSchema } from '../../generated/baobabdock/v1/operators_pb.js';
import { EXIT_FAILURE, EXIT_SUCCESS } from '../ProgramCommand.js';
import { OperatorCommand, operatorUsage } from './OperatorCommand.js';

const LOAD_DIGITS = 0;
const MULTIPLE_DIGITS = 2;

function multiple(load: number, mean: number): string {
  return mean > 0 ? (load / mean).toFixed(MULTIPLE_DIGITS) : '-';
}

/** Shows the state of the fleet as one daemon knows it, and the gates of every daemon that is asked. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['operator', 'status']];

  static override usage = operatorUsage({
    description: 'Show daemons, pools, runners, gates, drains and roll-outs.',
    details:
      'One daemon answers with what it believes of the whole fleet and with its own gates. With `--all-endpoints` every daemon named is asked and all their gates are shown.',
    examples: [
      ['Everything', '$0 operator status'],
      ['One service, for a program', '$0 operator status --service tile-sales --json'],
      [
        'The gates of two daemons',
        '$0 operator status --all-endpoints --endpoint http://10.0.0.1:8090 --endpoint http://10.0.0.2:8090',
      ],
    ],
  });

  service = Option.String('--service', '', { description: 'Only this service.' });

  allEndpoints = Option.Boolean('--all-endpoints', false, {
    description: 'Ask every daemon named, not only the first that answers.',
  });

  protected override async run(): Promise<number> {
    const client = await this.client();
    const { service } = this;
    if (!this.allEndpoints) {
      const status = await client.call(FleetService, (calls) => calls.status({ service }));
      this.show(status);
      return EXIT_SUCCESS;
    }
    const answers: StatusResponse[] = [];
    const gates = new Map<string, GateStatus>();
    let silent = 0;
    for (const endpoint of client.endpoints) {
      try {
        const status = await client.clientOf(endpoint, FleetService).status({ service });
        answers.push(status);
        for (const gate of status.gates) gates.set(`${status.daemonId}/${gate.runnerId}`, gate);
      } catch (error) {
        silent += 1;
        this.complain(`${endpoint}: ${ConnectError.from(error).message}`);
      }
    }
    const [first] = answers;
    if (!first) throw new ConnectError('No daemon answered.', Code.Unavailable);
    first.gates = [...gates.values()];
    this.show(first);
    return silent > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
  }

  private show(status: StatusResponse): void {
    if (this.json) {
      this.printJson(StatusResponseSchema, status);
      return;
    }
    const { daemonId, revision, newestRevision } = status;
    this.print(`${daemonId}: revision ${revision} in force; newest known ${newestRevision}\n`);
    this.printFleet(status);
    this.printPools(status);
    this.printSteps(status);
  }

  private printFleet({ daemons, runners }: StatusResponse): void {
    this.printTable(
      ['daemon', 'state', 'data centre', 'revision', 'callers', ''],
      daemons.map((daemon) => [
        daemon.daemonId,
        daemon.state,
        daemon.dataCentre,
        String(daemon.configurationRevision),
        daemon.callerAddress,
        [daemon.lags && 'lags', daemon.draining && 'draining'].filter(Boolean).join(' '),
      ]),
    );
    this.print('');
    this.printTable(
      ['runner', 'service', 'state', 'data centre', 'gate at', ''],
      runners.map((runner) => [
        runner.runnerId,
        runner.service,
        runner.state,
        runner.dataCentre,
        runner.gateDaemon,
        runner.draining ? 'draining' : '',
      ]),
    );
    this.print('');
  }

  private printPools({ pools, gates }: StatusResponse): void {
    this.printTable(
      ['service', 'live runners', 'mean load', 'highest here', 'gates here'],
      pools.map((pool) => [
        pool.service,
        `${pool.liveRunners} of ${pool.runners}`,
        pool.meanLoad.toFixed(LOAD_DIGITS),
        pool.highestKnownMultiple.toFixed(MULTIPLE_DIGITS),
        String(pool.gatesKnown),
      ]),
    );
    this.print('');
    this.printTable(
      ['gate of', 'service', 'state', 'load', 'of mean', 'running', 'queued'],
      gates.map((gate) => [
        gate.runnerId,
        gate.service,
        gate.state,
        gate.load.toFixed(LOAD_DIGITS),
        multiple(gate.load, gate.meanLoad),
        String(gate.running),
        String(gate.queued),
      ]),
    );
  }

  private printSteps({ drains, rollouts }: StatusResponse): void {
    if (drains.length > 0) {
      this.print('');
      this.printTable(
        ['drained', 'name', 'by', 'reason'],
        drains.map(({ kind, id, requestedBy, reason }) => [kind, id, requestedBy, reason]),
      );
    }
    if (rollouts.length === 0) return;
    this.print('');
    this.printTable(
      ['roll-out', 'from', 'to', 'state', 'data centres done', 'reason'],
      rollouts.map((rollout) => [
        rollout.name,
        rollout.fromVersion,
        rollout.toVersion,
        rollout.state,
        `${rollout.finishedDataCentres.length} of ${rollout.dataCentres.length}`,
        rollout.reason,
      ]),
    );
  }
}

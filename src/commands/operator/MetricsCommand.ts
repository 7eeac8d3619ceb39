/**
 * `baobabdock operator metrics`: the metrics of one daemon.
 */
import {
  FleetService,
  ReadMetricsResponseSchema,
} from '../../generated/baobabdock/v1/operators_pb.js';
import { EXIT_SUCCESS } from '../ProgramCommand.js';
import { OperatorCommand, operatorUsage } from './OperatorCommand.js';

/** Prints the metrics page of the daemon that answers. */
export class MetricsCommand extends OperatorCommand {
  static override paths = [['operator', 'metrics']];

  static override usage = operatorUsage({
    description: 'Print the metrics of one daemon.',
    details:
      'The page is that of `GET /metrics`, which a daemon serves on the port of the callers where callers.serveMetrics is set.',
    examples: [
      ['One daemon', '$0 operator metrics --endpoint http://10.0.0.1:8090'],
      ['For a program', '$0 operator metrics --json'],
    ],
  });

  protected override async run(): Promise<number> {
    const client = await this.client();
    const answer = await client.call(FleetService, (calls) => calls.readMetrics({}));
    if (this.json) this.printJson(ReadMetricsResponseSchema, answer);
    else this.context.stdout.write(answer.page);
    return EXIT_SUCCESS;
  }
}

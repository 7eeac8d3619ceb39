/**
 * Measures the cost and gain of retries, and the cost of the decisions of a request.
 */
import { Command, Option } from 'clipanion';

import { measureDecisionCost, measureRetries } from './requests/retries.js';

const FAILURE_SHARES = [0, 0.01, 0.1, 0.14, 0.3, 1];

/** Ratio and burst of the retry budget; the first one is practically unlimited. */
const BUDGETS: readonly (readonly [number, number])[] = [
  [1, 1_000_000],
  [0.1, 10],
  [0.2, 10],
];

const COST_REQUESTS = 2_000;
const COST_CHUNKS = 200;

/** `npm run measure -- requests`. */
export class RequestMeasurement extends Command {
  static override paths = [['requests']];

  static override usage = Command.Usage({
    description:
      'Attempts for each request with and without a retry budget, by share of lost attempts.',
  });

  requests = Option.String('--requests', '20000', { description: 'Requests of each line.' });

  accounts = Option.String('--accounts', '20', { description: 'Client accounts, on one pool.' });

  seed = Option.String('--seed', '1', { description: 'Of the random failures.' });

  json = Option.Boolean('--json', false, { description: 'One JSON object a line.' });

  override async execute(): Promise<number> {
    const { stdout } = this.context;
    const common = {
      requests: Number(this.requests),
      accounts: Number(this.accounts),
      seed: Number(this.seed),
    };
    if (!this.json) stdout.write('ratio  burst    lost attempts  attempts/request  completed\n');
    for (const [ratio, burst] of BUDGETS) {
      for (const failureShare of FAILURE_SHARES) {
        const result = measureRetries({ ...common, failureShare, ratio, burst });
        const columns = [
          ratio.toFixed(1).padEnd(6),
          String(burst).padEnd(8),
          `${(100 * failureShare).toFixed(0)} %`.padEnd(14),
          result.attemptsPerRequest.toFixed(3).padEnd(17),
          `${(100 * result.completedShare).toFixed(2)} %`,
        ];
        stdout.write(`${this.json ? JSON.stringify(result) : columns.join(' ')}\n`);
      }
    }
    const cost = measureDecisionCost(COST_REQUESTS, COST_CHUNKS);
    const request = cost.microsecondsPerRequest.toFixed(1);
    const chunk = cost.microsecondsPerChunk.toFixed(2);
    const text = `decisions: ${request} µs of processor time a request, ${chunk} µs a chunk`;
    stdout.write(`${this.json ? JSON.stringify(cost) : text}\n`);
    return 0;
  }
}

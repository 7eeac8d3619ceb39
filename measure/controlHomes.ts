/**
 * Measures the traffic of chat homes, and the cache reuse that they give; a part of the control measurement.
 */
import { Command, Option } from 'clipanion';

import type { HomesResult, HomesRunOptions } from './control/measureHomes.js';
import { measureHomes } from './control/measureHomes.js';

/** Requests per second of one daemon in the largest fleet. */
const BUSY_REQUESTS = 19;

const STANDARD: Omit<HomesRunOptions, 'daemons' | 'seconds' | 'seed' | 'sparing'> = {
  requestsPerSecond: BUSY_REQUESTS,
  returning: 5 / 6,
  located: 0.3,
  busy: 0.05,
  restarts: 1,
};

/** Variations of the standard options. */
const VARIATIONS: readonly Partial<HomesRunOptions>[] = [
  {},
  { requestsPerSecond: 5 },
  { requestsPerSecond: 10 },
  { returning: 0.5 },
  { returning: 0.95 },
  { located: 0 },
  { located: 1 },
  { busy: 0.3 },
  { restarts: 0 },
  { restarts: 6 },
];

const HEAD =
  'req/s  returning  located  busy  restarts  told    asks/s  tells/s  a tell  bytes/s  reuse';

/** `npm run measure -- control homes`. */
export class ControlHomesMeasurement extends Command {
  static override paths = [['control', 'homes']];

  static override usage = Command.Usage({
    description: 'Bytes a second and daemon that the homes of chats cost, and the reuse they give.',
    details:
      'Each line is run twice: with everything asked and told, and as the daemon does it. Bytes are those of ' +
      'requests and answers, serialized and compressed as the link does, with HTTP headers.',
    examples: [['A smaller region', 'npm run measure -- control homes --daemons 24']],
  });

  daemons = Option.String('--daemons', '40', { description: 'Daemons of the region.' });

  seconds = Option.String('--seconds', '60', { description: 'Measured time after the warm-up.' });

  seed = Option.String('--seed', '1', { description: 'Seed of all random choices.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    if (!this.json) this.context.stdout.write(`${HEAD}\n`);
    for (const variation of VARIATIONS) {
      for (const sparing of [false, true]) {
        const options = {
          ...STANDARD,
          ...variation,
          sparing,
          daemons: Number(this.daemons),
          seconds: Number(this.seconds),
          seed: Number(this.seed),
        };
        this.print(options, await measureHomes(options));
      }
    }
    return 0;
  }

  private print(options: HomesRunOptions, result: HomesResult): void {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify({ ...options, ...result })}\n`);
      return;
    }
    const cells = [
      String(options.requestsPerSecond).padStart(5),
      options.returning.toFixed(2).padStart(9),
      options.located.toFixed(2).padStart(7),
      options.busy.toFixed(2).padStart(4),
      String(options.restarts).padStart(8),
      (options.sparing ? 'news' : 'all').padEnd(6),
      result.asks.toFixed(2).padStart(6),
      result.tells.toFixed(2).padStart(7),
      result.changesPerTell.toFixed(2).padStart(6),
      result.bytes.toFixed(0).padStart(7),
      `${(result.reuse * 100).toFixed(1)} %`,
    ];
    this.context.stdout.write(`${cells.join('  ')}\n`);
  }
}

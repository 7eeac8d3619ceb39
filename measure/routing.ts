/**
 * Measures cache reuse and load imbalance, by policy and bound, at two sizes of the fleet.
 */
import { Command, Option, UsageError } from 'clipanion';

import { planRouting } from './routing/routingPlan.js';
import { POLICY_NAMES } from './routing/routingRunOptions.js';
import type { PolicyName, RoutingRunOptions } from './routing/routingRunOptions.js';
import { runAll } from './routing/runAll.js';
import type { FinishedRun } from './routing/runAll.js';

/** A column of the table: its title and its value for each result. */
type Column = readonly [title: string, cell: (run: FinishedRun) => string];

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`;

const COLUMNS: readonly Column[] = [
  ['daemons', ({ options }) => String(options.daemons)],
  ['runners', ({ options }) => String(options.runners)],
  ['policy', ({ options }) => options.policy],
  ['bound', ({ options }) => options.bound.toFixed(2)],
  ['skew median', ({ result }) => result.skewMedian.toFixed(3)],
  ['skew max', ({ result }) => result.skewMax.toFixed(3)],
  ['reuse', ({ result }) => percent(result.reuse)],
  ['refused', ({ result }) => percent(result.refused)],
  ['gates asked', ({ result }) => result.gatesAsked.toFixed(2)],
  ['wait p95 ms', ({ result }) => result.waitMilliseconds95.toFixed(0)],
  ['control B/s', ({ result }) => result.controlBytesPerSecond.toFixed(0)],
  ['decisions/s', ({ result }) => result.decisionsPerSecond.toFixed(0)],
];

const POLICY_COLUMN_WIDTH = 21;

/** `npm run measure` and `npm run measure -- routing`. */
export class RoutingMeasurement extends Command {
  static override paths = [Command.Default, ['routing']];

  static override usage = Command.Usage({
    description: 'Reuse against skew, by policy and bound, in virtual time.',
    details: `
      Skew is the work on the busiest live runner divided by the mean over the live runners, sampled every
      half second after a warm-up; work is the prompt tokens not yet processed and the declared tokens not
      yet generated that the engine itself has. Reuse is the share of requests of chats that had an answer
      before whose runner still has the chat's prefix cached. Control bytes are what one daemon sends a
      second for homes, refusals, load reports, cache events and load digests. Decisions a second are what
      one core of this machine makes, by the wall clock; all else is the same for each run of a seed.
    `,
    examples: [
      ['The frontier at two sizes, with the baselines', 'npm run measure'],
      ['One run', 'npm run measure -- routing --daemons 8 --bound 1.25 --policy design'],
      ['Lists that differ for ten seconds', 'npm run measure -- routing --list-lag-seconds 10'],
    ],
  });

  daemons = Option.String('--daemons', { description: 'Daemons; 8 and 130 without it.' });

  runners = Option.String('--runners', { description: 'Runners of the pool; 13 and 100.' });

  bound = Option.String('--bound', { description: 'Bounds, with commas between.' });

  policy = Option.String('--policy', { description: 'Policies, with commas between.' });

  seed = Option.String('--seed', { description: 'Seed of all random choices; 1.' });

  reportLagSeconds = Option.String('--report-lag-seconds', { description: 'Age of loads; 1.' });

  listLagSeconds = Option.String('--list-lag-seconds', {
    description: 'Time within which daemons learn of changes; 3.',
  });

  churn = Option.String('--churn', {
    description: 'Runners that join or leave, a minute and 100 runners; 6.7.',
  });

  surge = Option.String('--surge', {
    description: 'Share of requests of one account on 40 chats in the middle third; 0.3.',
  });

  eventLoss = Option.String('--event-loss', { description: 'Share of lost cache events; 0.05.' });

  daemonRestarts = Option.String('--daemon-restarts', {
    description: 'Daemons that die and return empty, a minute and 100 daemons; 1.',
  });

  daemonPauses = Option.String('--daemon-pauses', {
    description: 'Daemons that stand still for 8 s, a minute and 100 daemons; 0.',
  });

  cacheTokens = Option.String('--cache-tokens', {
    description: 'Tokens that the prefix cache of a runner holds; 400000.',
  });

  homes = Option.String('--homes', { description: 'Homes of a chat; 1.' });

  coldChoices = Option.String('--cold-choices', { description: 'Of the policy; 4.' });

  warmChoices = Option.String('--warm-choices', { description: 'Of the policy; 8.' });

  reuseWeight = Option.String('--reuse-weight', { description: 'Of the policy; 0.8.' });

  seconds = Option.String('--seconds', { description: 'Measured time after the warm-up; 30.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const plan = planRouting({
      daemons: RoutingMeasurement.number('--daemons', this.daemons),
      runners: RoutingMeasurement.number('--runners', this.runners),
      bounds: this.bound?.split(',').map((text) => RoutingMeasurement.number('--bound', text)!),
      policies: this.policy?.split(',').map(RoutingMeasurement.policyOf),
      common: this.common(),
    });
    if (!this.json) this.print(COLUMNS.map(([title]) => title));
    await runAll(plan, (run) => {
      if (this.json) this.context.stdout.write(`${RoutingMeasurement.line(run)}\n`);
      else this.print(COLUMNS.map(([, cell]) => cell(run)));
    });
    return 0;
  }

  private common(): Partial<RoutingRunOptions> {
    const given: Record<string, readonly [string, string | undefined]> = {
      seed: ['--seed', this.seed],
      reportLagSeconds: ['--report-lag-seconds', this.reportLagSeconds],
      listLagSeconds: ['--list-lag-seconds', this.listLagSeconds],
      churn: ['--churn', this.churn],
      surge: ['--surge', this.surge],
      eventLoss: ['--event-loss', this.eventLoss],
      daemonRestarts: ['--daemon-restarts', this.daemonRestarts],
      daemonPauses: ['--daemon-pauses', this.daemonPauses],
      cacheTokens: ['--cache-tokens', this.cacheTokens],
      homes: ['--homes', this.homes],
      coldChoices: ['--cold-choices', this.coldChoices],
      warmChoices: ['--warm-choices', this.warmChoices],
      reuseWeight: ['--reuse-weight', this.reuseWeight],
      measuredSeconds: ['--seconds', this.seconds],
    };
    const numbers = Object.entries(given).flatMap(([field, [flag, text]]) => {
      const value = RoutingMeasurement.number(flag, text);
      return value === undefined ? [] : [[field, value] as const];
    });
    return Object.fromEntries(numbers);
  }

  private print(cells: readonly string[]): void {
    const padded = cells.map((cell, index) =>
      COLUMNS[index]![0] === 'policy'
        ? cell.padEnd(POLICY_COLUMN_WIDTH)
        : cell.padStart(COLUMNS[index]![0].length),
    );
    this.context.stdout.write(`${padded.join('  ')}\n`);
  }

  private static line({ options, result }: FinishedRun): string {
    return JSON.stringify({ ...options, ...result });
  }

  private static number(flag: string, text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    const value = Number(text);
    if (text.trim() === '' || !Number.isFinite(value) || value < 0)
      throw new UsageError(`${flag} needs a number of zero or more, not "${text}"`);
    return value;
  }

  private static policyOf(this: void, text: string): PolicyName {
    const known = POLICY_NAMES.find((name) => name === text);
    if (!known) throw new UsageError(`--policy knows ${POLICY_NAMES.join(', ')}, not "${text}"`);
    return known;
  }
}

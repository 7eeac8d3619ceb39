/**
 * Measures how many retries each way to enforce a fleet's limit allows, and whether it stays within the limit.
 */
import { Command, Option } from 'clipanion';

import { SharedRetryBudget } from '../src/forwarding/SharedRetryBudget.js';
import type {
  FleetTrouble,
  RetryFleetOptions,
  ServiceFailure,
} from '../src/forwarding/testRetryFleet.js';
import { simulateRetries, RETRY_FLEETS } from '../src/forwarding/testRetryFleet.js';
import { CentralBudget } from './retryBudget/CentralBudget.js';
import { OwingBudget } from './retryBudget/OwingBudget.js';
import { ToldBudget } from './retryBudget/ToldBudget.js';
import { ToldRetries } from './retryBudget/ToldRetries.js';
import { WindowBudget } from './retryBudget/WindowBudget.js';
import { printRecords } from './routing/printRecords.js';

const FAILURES: readonly ServiceFailure[] = ['some', 'most', 'bursts'];

/** Faults that leave daemons running, and faults that end them. */
const TROUBLES: readonly FleetTrouble[] = [
  'none',
  'killed_together',
  'killed_in_turn',
  'rolled',
  'lists_short',
  'paused',
  'added',
  'gone',
];

type CreateAccount = RetryFleetOptions['createAccount'];

function bucket(earnedShare: number, heldShare: number): (daemons: number) => CreateAccount {
  return () => (options) => new SharedRetryBudget({ ...options, earnedShare, heldShare });
}

const WAYS: Readonly<Record<string, (daemons: number) => CreateAccount>> = {
  window: () => (options) => new WindowBudget(options),
  'window that owes': () => (options) => new OwingBudget(options),
  'window that is told': (daemons) => {
    const memory = new ToldRetries(daemons);
    return (options, daemon) => new ToldBudget(options, memory, daemon);
  },
  'window of one owner': () => {
    const owner = {};
    return (options, daemon) => new CentralBudget(options, owner, daemon);
  },
  'bucket 1 + 0': bucket(1, 0),
  'bucket .85 + .1': bucket(0.85, 0.1),
  'bucket .75 + .2': bucket(0.75, 0.2),
  'bucket .6 + .35': bucket(0.6, 0.35),
};

/** `npm run measure -- retry-budget`. */
export class RetryBudgetMeasurement extends Command {
  static override paths = [['retry-budget']];

  static override usage = Command.Usage({
    description: 'Ways to keep the retry budget of a fleet, in virtual time.',
    details: `
      For fleets of 6 to 390 daemons: by how much the worst window of any trouble passes the limit, for each daemon
      (negative where none does), and which part of the retries that were wanted was sent.
    `,
    examples: [['All', 'npm run measure -- retry-budget']],
  });

  seed = Option.String('--seed', '1', { description: 'Seed of the requests.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const records = Object.keys(WAYS).flatMap((way) =>
      RETRY_FLEETS.map((fleet) => this.measure(way, fleet)),
    );
    printRecords(this.context.stdout, records, this.json);
    return 0;
  }

  private measure(
    way: string,
    fleet: (typeof RETRY_FLEETS)[number],
  ): Record<string, string | number> {
    const plays = FAILURES.flatMap((failure) =>
      TROUBLES.map((trouble) => {
        const createAccount = WAYS[way]!(fleet.daemons);
        const play = { ...fleet, trouble, failure, createAccount, seed: Number(this.seed) };
        return { trouble, failure, ...simulateRetries(play) };
      }),
    );
    const sent = (failure: ServiceFailure, troubles: readonly FleetTrouble[]) => {
      const chosen = plays.filter(
        (play) => play.failure === failure && troubles.includes(play.trouble),
      );
      const sum = (key: 'granted' | 'wanted') =>
        chosen.reduce((total, play) => total + play[key], 0);
      return (sum('granted') / sum('wanted')).toFixed(2);
    };
    const ends: readonly FleetTrouble[] = ['killed_together', 'killed_in_turn', 'rolled'];
    const worst = Math.max(...plays.map(({ excess }) => excess)) / fleet.daemons;
    const shares = FAILURES.flatMap((failure) => [
      [failure, sent(failure, ['none'])],
      [`${failure}, daemons end`, sent(failure, ends)],
    ]);
    return {
      way,
      daemons: fleet.daemons,
      'worst excess a daemon': worst.toFixed(1),
      ...Object.fromEntries(shares),
    };
  }
}

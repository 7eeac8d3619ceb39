/**
 * Measures what a planned leave and a hot chat cost with and without moving KV caches.
 */
import { Command, Option } from 'clipanion';

import { measureHotChats } from './cacheMoves/measureHotChats.js';
import { LEAVE_POLICIES, measureLeave } from './cacheMoves/measureLeave.js';
import { printRecords } from './routing/printRecords.js';

const KIBIBYTE = 1_024;
const GIGABYTE = 1_000_000_000;
const KIBIBYTES_PER_TOKEN = [16, 64, 128];
const GIGABYTES_PER_SECOND = [0.3, 1, 2, 4, 10, 25];
const SECONDS_BETWEEN_REQUESTS = [1, 5, 20];
const SHARES_AT_THE_BOUND = [0.1, 0.3, 0.6];

/** Tokens per second that an engine prefills and generates. */
const PREFILL_RATE = 10_000;
const GENERATING_RATE = 1_800;

/** `npm run measure -- cache-moves`. */
export class CacheMovesMeasurement extends Command {
  static override paths = [['cache-moves']];

  static override usage = Command.Usage({
    description: 'What moving KV caches gains, against rebuilding them, over rates and sizes.',
    details: `
      Leave: a runner with 3,000 warm chats goes by plan and may stay ten minutes at most; its chats return
      within minutes, within hours, or not at all.

      Reported rate: the same, where the engine reports tokens generated instead of what it prefills.

      Hot chats: chats whose runners are at their bound for a share of the time.
    `,
    examples: [['All', 'npm run measure -- cache-moves']],
  });

  seed = Option.String('--seed', '1', { description: 'Seed of the chats and their returns.' });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const seed = Number(this.seed);
    const { stdout } = this.context;
    const sizes = KIBIBYTES_PER_TOKEN.flatMap((kibibytes) =>
      GIGABYTES_PER_SECOND.map((gigabytes) => ({
        bytesPerToken: kibibytes * KIBIBYTE,
        bytesPerSecond: gigabytes * GIGABYTE,
        prefillTokensPerSecond: PREFILL_RATE,
        seed,
      })),
    );
    const leaves = sizes.flatMap((size) =>
      LEAVE_POLICIES.map((policy) => measureLeave({ ...size, policy })),
    );
    printRecords(stdout, leaves, this.json);
    const reported = sizes.map((size) =>
      measureLeave({ ...size, policy: 'settings fit', reportedTokensPerSecond: GENERATING_RATE }),
    );
    printRecords(stdout, reported, this.json);
    const hot = SECONDS_BETWEEN_REQUESTS.flatMap((seconds) =>
      SHARES_AT_THE_BOUND.flatMap((share) =>
        [false, true].map((moves) => measureHotChats({ seconds, share, moves, seed })),
      ),
    );
    printRecords(stdout, hot, this.json);
    return 0;
  }
}

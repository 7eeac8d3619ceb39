/**
 * Runs a fleet of real processes under load and faults. `npm run soak -- --seed 7` plays one seed, `--seeds 50` as many,
 * starting with that one; `--seconds`, `--daemons`, `--runners` (of each service) and `--rate` (requests per second) set the
 * size; `--losses` plays losses of all daemons beside releases, writes that the store refuses or loses, and older copies of
 * the store instead of the other faults; `--logs FOLDER` keeps the logs of the daemons.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { reportLines, writeLogs } from './report.js';
import { runSoak } from './runSoak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '30' },
    daemons: { type: 'string', default: '4' },
    runners: { type: 'string', default: '4' },
    rate: { type: 'string', default: '40' },
    losses: { type: 'boolean', default: false },
    logs: { type: 'string' },
  },
});

// A signal ends the process without its exit handlers, which end the daemons.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));

const folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
const failed: number[] = [];
try {
  const program = buildDaemon(folder);
  const first = Number(values.seed);
  for (let seed = first; seed < first + Number(values.seeds); seed += 1) {
    const result = await runSoak({
      seed,
      program,
      seconds: Number(values.seconds),
      daemons: Number(values.daemons),
      runnersOfService: Number(values.runners),
      rate: Number(values.rate),
      losesAll: values.losses,
    });
    for (const line of reportLines(seed, result)) console.log(line);
    if (values.logs !== undefined) writeLogs(result, join(values.logs, `seed-${seed}`));
    if (result.violations.all.length > 0) failed.push(seed);
  }
} finally {
  rmSync(folder, { recursive: true });
}
if (failed.length > 0) console.log(`broken with seeds ${failed.join(', ')}`);
process.exitCode = failed.length > 0 ? 1 : 0;

/**
 * Runs every `*.spec.ts` of the project with Node's own test runner and a bounded number of processes.
 *
 * `npm test` fails on any red test. `npm test -- --known-red KNOWN-RED.txt` passes over exactly the
 * tests that the file lists and prints them. `npm test -- src/gates` runs only the specs below a folder.
 */
import { readdirSync, statSync } from 'node:fs';
import { join, relative, resolve } from 'node:path';
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';
import { parseArgs } from 'node:util';

import { compareWithKnownRed, readKnownRed } from './knownRed.js';
import type { FailedTest } from './knownRed.js';

const FOLDERS = ['src', 'platform', 'standIns', 'measure', 'tools', 'demo', 'tests', 'soak'];

/** Number of concurrent processes; leaves room on a shared machine, since several specs use real sockets. */
const CONCURRENCY = 4;

/** Specs that use all processors or most of a machine's memory; they run one at a time, after all others. */
const ALONE: ReadonlySet<string> = new Set([
  'tests/brittleRunners.spec.ts',
  'tests/busyMachine.spec.ts',
  'tests/daemonsWithoutRunners.spec.ts',
  'tests/misbehavingCallers.spec.ts',
  'tests/misbehavingClients.spec.ts',
  'tests/overload.spec.ts',
  'tests/streamsBesideOldHistories.spec.ts',
  'tests/streamsOfCallersInStep.spec.ts',
  'tests/streamsOutliveDaemons.spec.ts',
]);

/** A spec that hangs would otherwise hang CI, which then shows no verdict at all. */
const TIMEOUT_MILLISECONDS = 180_000;

/** A parent test fails when a part of it does; only the part is counted. */
const PART_FAILED = 'subtestsFailed';

function findSpecs(path: string): string[] {
  const information = statSync(path, { throwIfNoEntry: false });
  if (!information) return [];
  if (information.isFile()) return path.endsWith('.spec.ts') ? [resolve(path)] : [];
  return readdirSync(path)
    .filter((name) => name !== 'node_modules')
    .sort()
    .flatMap((name) => findSpecs(join(path, name)));
}

function runSpecs(files: string[], concurrency: number): Promise<FailedTest[]> {
  const failed: FailedTest[] = [];
  if (files.length === 0) return Promise.resolve(failed);
  const stream = run({ files, concurrency, timeout: TIMEOUT_MILLISECONDS });
  stream.on('test:fail', ({ name, file = '', details, todo }) => {
    const cause = details.error as { failureType?: string };
    if (cause.failureType === PART_FAILED || todo !== undefined) return;
    failed.push({ file: relative('.', file), name });
  });
  return new Promise((done, fail) => {
    stream.on('error', fail);
    const report = stream.compose(new SpecReporter());
    report.on('end', () => done(failed));
    report.pipe(process.stdout, { end: false });
  });
}

async function main(): Promise<void> {
  const { values, positionals } = parseArgs({
    options: { 'known-red': { type: 'string' } },
    allowPositionals: true,
  });
  const knownRed = readKnownRed(values['known-red']);
  const files = (positionals.length > 0 ? positionals : FOLDERS).flatMap(findSpecs);
  if (files.length === 0) {
    console.log('no specs found');
    // A mistyped path must not look like a pass.
    process.exitCode = positionals.length > 0 ? 1 : 0;
    return;
  }
  const isAlone = (file: string) => ALONE.has(relative('.', file));
  const failedTogether = await runSpecs(
    files.filter((file) => !isAlone(file)),
    CONCURRENCY,
  );
  const failed = [...failedTogether, ...(await runSpecs(files.filter(isAlone), 1))];
  const verdict = compareWithKnownRed(failed, knownRed);
  for (const line of verdict.lines) console.log(line);
  process.exitCode = verdict.passed ? 0 : 1;
}

await main();

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { createProgram } from './createProgram.js';

let folder: string;

before(() => {
  folder = mkdtempSync(join(tmpdir(), 'losses-'));
});

after(() => rmSync(folder, { recursive: true }));

async function run(...parameters: string[]) {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const exitCode = await createProgram({ stderr }).run(parameters, { stdout, stderr, env: {} });
  const text = (stream: PassThrough) => String(stream.read() ?? '').replaceAll(`${folder}/`, '');
  return { exitCode, results: text(stdout), errors: text(stderr) };
}

function file(name: string, lines: readonly string[]): string {
  const path = join(folder, name);
  writeFileSync(path, [...lines, ''].join('\n'));
  return path;
}

function line(second: number, number: number, fields: object, daemon = 'router-1'): string {
  const time = new Date(Date.UTC(2026, 0, 5, 10, 0, second)).toISOString();
  return JSON.stringify({ time, level: 'info', number, event: 'e', text: '', daemon, fields });
}

const ORDER = { route: 'orders', runner: 'i-1' };

function failed(request: string, more: object = {}) {
  return { request, runner: 'i-1', failure: 'silent', verdict: 'fail', ...more };
}

function lost(request: string, milliseconds: number) {
  return { request, ...ORDER, outcome: 'silent', status: 502, tried: 1, milliseconds };
}

const ROUTER_1 = [
  line(0, 2500, {}),
  line(1, 2600, { request: 'r1', ...ORDER, status: 200, tried: 1, milliseconds: 20 }),
  line(1, 2603, failed('r2', { verdict: 'retry' })),
  line(2, 2600, { request: 'r2', ...ORDER, runner: 'i-2', status: 200, tried: 2 }),
  line(2, 2603, failed('r3')),
  line(2, 2601, lost('r3', 300)),
  line(2, 2603, failed('r4', { reason: 'budget_empty', probedMilliseconds: 40 })),
  line(2, 2601, lost('r4', 340)),
  'FATAL ERROR: out of memory',
  line(4, 2500, {}),
  line(5, 2507, { lines: 12 }),
];

const ROUTER_2 = [
  line(3, 2606, { request: 'r5', outcome: 'no_route', status: 404 }, 'router-2'),
  line(4, 2600, { request: 'r6', ...ORDER, status: 500, tried: 2, milliseconds: 44 }, 'router-2'),
];

const ACCOUNT = `Logs of 2 daemons from 2026-01-05T10:00:00.000Z to 2026-01-05T10:00:05.000Z, of all of them from 2026-01-05T10:00:03.000Z on.
Processes started: 2; ended without a planned stop, so that what they held left no line: 1.
Lines in no sum: 1 unreadable (from router-1.log:9), 12 left out by daemons (2507), 0 dropped (1010).
Requests: 6, lost 4; answered although an attempt had failed: 1.

Lost, by cause:
CAUSE            DETAIL                           STATUS  REQUESTS  MEDIAN MS  99TH MS  PROBED MS  LOOK AT
refused at once  no route                         404     1         -          -        -          r5
runner error     several runners asked            500     1         44         44       -          r6
runner silent    budget empty                     502     1         340        340      40         r4
runner silent    no other asked, why is not told  502     1         300        300      -          r3

Lost, by route:
ROUTE     REQUESTS  LOST  CAUSES
orders    5         3     2 runner silent, 1 runner error
not told  1         1     1 refused at once

Lost, by moment:
MOMENT                REQUESTS  LOST  FAILED ATTEMPTS  CAUSES
2026-01-05T10:00:01Z  1         0     1
2026-01-05T10:00:02Z  3         2     2                2 runner silent
2026-01-05T10:00:03Z  1         1     0                1 refused at once
2026-01-05T10:00:04Z  1         1     0                1 runner error

Lost, by runner:
RUNNER    REQUESTS  LOST  FAILED ATTEMPTS  CAUSES
i-1       4         3     3                2 runner silent, 1 runner error
not told  1         1     0                1 refused at once
`;

describe('explain --losses', () => {
  it('prints what was lost by cause, route, moment and runner', async () => {
    const files = [file('router-1.log', ROUTER_1), file('router-2.log', ROUTER_2)];
    expect(await run('explain', '--losses', ...files)).toEqual({
      exitCode: 0,
      results: ACCOUNT,
      errors: '',
    });
  });

  it('sums longer moments, and what is beyond the rows asked for', async () => {
    const log = file('router-1.log', ROUTER_1);
    const { results } = await run('explain', '--rows', '1', '--moment', '60', '--losses', log);
    expect(results).toEqual(
      expect.includes('2026-01-05T10:00:00Z  4         2     3                2 runner silent'),
    );
    expect(results).toEqual(expect.includes('Further rows: 1, with 1 lost; --rows shows more.'));
  });

  it('names few of the files that a collector has cut', async () => {
    const files = ['a', 'b', 'c', 'd', 'e'].map((name) => file(name, ['{"time', ...ROUTER_2]));
    const { results } = await run('explain', '--losses', ...files);
    expect(results).toEqual(
      expect.includes('5 unreadable (from a:1, b:1, c:1, and in 2 more files), 0 left out'),
    );
  });

  it('leaves the story of a request as it was', async () => {
    const { results, exitCode } = await run('explain', 'r3', file('router-1.log', ROUTER_1));
    expect(exitCode).toEqual(0);
    expect(results).toEqual(expect.includes('What became of it:'));
  });

  it('names every file that is missing or no log, with its place, and prints no sums', async () => {
    const log = file('router-1.log', ROUTER_1);
    const strange = file('strange.log', ['', 'a: b']);
    const missing = join(folder, 'missing.log');
    const { exitCode, results, errors } = await run('explain', '--losses', log, missing, strange);
    expect([exitCode, results]).toEqual([1, '']);
    const [first, ...rest] = errors.trimEnd().split('\n');
    expect(first ?? '').toEqual(expect.includes('missing.log: cannot be read: ENOENT'));
    expect(rest).toEqual(['strange.log:2: no line of the file is one of a daemon’s log']);
  });

  it('names options that are no whole numbers, and takes an empty log', async () => {
    const empty = file('empty.log', []);
    const wrong = await run('explain', '--losses', '--moment', '0.5', '--rows', 'x', empty);
    expect(wrong).toEqual({
      exitCode: 1,
      results: '',
      errors: [
        '--moment: has to be a whole number above 0, and is 0.5',
        '--rows: has to be a whole number above 0, and is x',
        '',
      ].join('\n'),
    });
    const { exitCode, results } = await run('explain', '--losses', empty);
    expect(exitCode).toEqual(0);
    expect(results).toEqual(expect.includes('No line of a daemon.'));
  });
});

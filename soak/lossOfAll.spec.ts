/**
 * A short soak in which all daemons end at the same moment, more than once, beside releases.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { reportLines } from './report.js';
import { runSoak } from './runSoak.js';

const SEED = 3001;

const SECONDS = 12;

describe('a fleet of processes that is lost as a whole', () => {
  let folder: string;
  let program: string[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  it('lets streams go on at their version', async () => {
    // Guards against versions of streams that are forgotten when all daemons end at the same moment.
    const result = await runSoak({ seed: SEED, seconds: SECONDS, program, losesAll: true });
    const isKept = result.violations.all.length === 0;
    expect(isKept ? '' : reportLines(SEED, result).join('\n')).toEqual('');
  });
});

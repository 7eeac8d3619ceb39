import { execFile } from 'node:child_process';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';

import { expect } from 'earl';

import { freePort } from './freePort.js';

const PROCESSES = 6;
const ROUNDS = 12;
const PORTS_A_ROUND = 40;

/** Few enough that processes ask for the same ones again and again. */
const LOWEST = 20_000;
const END = 23_300;

describe(freePort.name, () => {
  it('gives a port to one process only, however many ask at the same time', async () => {
    // Symptom: once in some runs a daemon ends at its start, since its address is in use. Sequence: it is given a port
    // that is free; before it opens that, a stand-in of another process is given the same one, or opens it for a moment
    // to see whether it is free. Cause: a port was looked at, and not reserved.
    const program = ['--import', 'tsx', 'standIns/site/openPorts.ts'];
    const words = [ROUNDS, PORTS_A_ROUND, LOWEST, END].map(String);
    const runs = Array.from({ length: PROCESSES }, () =>
      promisify(execFile)(process.execPath, [...program, ...words]),
    );
    const failures = (await Promise.all(runs)).map(({ stdout }) => stdout.trim());
    expect(failures).toEqual(Array.from({ length: PROCESSES }, () => '0'));
  });
});

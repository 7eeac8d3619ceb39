import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { readLogFile } from './readLogFile.js';

/** Three pieces of a file and more, in bytes; one ends within a character of three bytes then. */
const MANY_BYTES = 210_000;

const LINE = {
  time: '2026-01-05T10:00:05.000Z',
  level: 'info',
  number: 2600,
  event: 'e',
};

let folder: string;

before(() => {
  folder = mkdtempSync(join(tmpdir(), 'read-log-'));
});

after(() => rmSync(folder, { recursive: true }));

async function read(content: string) {
  const file = join(folder, 'a.log');
  writeFileSync(file, content);
  const texts = new Set<string>();
  const result = await readLogFile(file, ({ text }) => texts.add(text));
  return { result, texts: [...texts] };
}

describe(readLogFile.name, () => {
  it('gives every line whole, wherever a piece of the file ends', async () => {
    // Symptom: lines are missing or misspelt in long files. Sequence: a piece ends within a line, or within the bytes of
    // one character. Cause: pieces are split and decoded one by one.
    const text = '’'.repeat(MANY_BYTES / Buffer.byteLength('’'));
    const line = `  3.250 host-1 ${JSON.stringify({ ...LINE, text })}\n`;
    const { texts, result } = await read(line.repeat(2));
    expect(result).toEqual({ lines: 2, unreadable: 0, firstUnreadable: undefined });
    expect(texts.map((whole) => whole === text)).toEqual([true]);
  });

  it('counts what is no line of a daemon, and takes a last line without its end', async () => {
    const line = JSON.stringify(LINE);
    const { result } = await read(`${line}\r\n\nFATAL ERROR\n{"time"\n${line}`);
    expect(result).toEqual({ lines: 2, unreadable: 2, firstUnreadable: 3 });
  });

  it('takes a file without line ends for one unreadable line', async () => {
    const { result } = await read('x'.repeat(MANY_BYTES));
    expect(result).toEqual({ lines: 0, unreadable: 1, firstUnreadable: 1 });
    expect((await read('')).result.unreadable).toEqual(0);
  });

  it('rejects where there is no file', async () => {
    await expect(readLogFile(join(folder, 'none.log'), () => {})).toBeRejectedWith('ENOENT');
  });
});

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { readLogFile } from './readLogFile.js';

/**
 * Size in bytes of a text that spans more than three chunks of a file, so that a chunk ends within a character of
 * three bytes.
 */
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
  it('yields each line complete, wherever a chunk of the file ends', async () => {
    // Guards against missing or garbled lines in long files: a chunk can end within a line or within the bytes of one
    // character, so that chunks must not be split and decoded independently.
    const text = '’'.repeat(MANY_BYTES / Buffer.byteLength('’'));
    const line = `  3.250 host-1 ${JSON.stringify({ ...LINE, text })}\n`;
    const { texts, result } = await read(line.repeat(2));
    expect(result).toEqual({ lines: 2, unreadable: 0, firstUnreadable: undefined });
    expect(texts.map((whole) => whole === text)).toEqual([true]);
  });

  it('counts lines that are not log lines, and accepts a last line without a line end', async () => {
    const line = JSON.stringify(LINE);
    const { result } = await read(`${line}\r\n\nFATAL ERROR\n{"time"\n${line}`);
    expect(result).toEqual({ lines: 2, unreadable: 2, firstUnreadable: 3 });
  });

  it('treats a file without line ends as one unreadable line', async () => {
    const { result } = await read('x'.repeat(MANY_BYTES));
    expect(result).toEqual({ lines: 0, unreadable: 1, firstUnreadable: 1 });
    expect((await read('')).result.unreadable).toEqual(0);
  });

  it('rejects if the file does not exist', async () => {
    await expect(readLogFile(join(folder, 'none.log'), () => {})).toBeRejectedWith('ENOENT');
  });
});

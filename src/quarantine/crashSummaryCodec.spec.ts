import { describe, it } from 'node:test';

import { expect } from 'earl';

import { decodeDocument, encodeDocument, fromMessage, toMessage } from './crashSummaryCodec.js';

describe('crash records', () => {
  // Guards against a verdict on one software version that is taken for one on all, and a part without its name.
  it('keep the part, the versions of the crashed runners and the answers of each version', () => {
    const news = {
      digest: 'a'.repeat(32),
      part: 'engine/5c1e07a2',
      crashes: [
        { life: 1, at: 100, versionHash: 7 },
        { life: 2, at: 200 },
      ],
      clearedAt: undefined,
      answers: [
        { versionHash: 7, at: 40 },
        { versionHash: 0, at: 1_500 },
      ],
    };
    expect(fromMessage(toMessage(news, 1_000), 1_000)).toEqual(news);
    const same = (milliseconds: number) => milliseconds;
    expect(decodeDocument(encodeDocument([news], same), same)).toEqual([news]);
  });

  // Guards against a crash of overload that blames its requests again at another daemon or after a restart.
  it('keep which crashes are of overload, in messages and in the stored document', () => {
    const crashes = [
      { life: 1, at: 100 },
      { life: 2, at: 200, isOverload: true },
    ];
    const news = { digest: 'f'.repeat(32), crashes, clearedAt: 50 };
    expect(fromMessage(toMessage(news, 1_000), 1_000)).toEqual(news);
    const same = (milliseconds: number) => milliseconds;
    expect(decodeDocument(encodeDocument([news], same), same)).toEqual([news]);
  });
});

import { describe, it } from 'node:test';

import { expect } from 'earl';

import { decodeDocument, encodeDocument, fromMessage, toMessage } from './crashSummaryCodec.js';

describe('crash records', () => {
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

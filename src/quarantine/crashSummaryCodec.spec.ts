import { describe, it } from 'node:test';

import { expect } from 'earl';

import { groupAlike } from './alikeSubjects.js';
import { decodeDocument, encodeDocument, fromMessage, toMessage } from './crashSummaryCodec.js';

describe('crash records', () => {
  // Guards against reports of a crash under a prompt of many parts that are too long, or leave out some of the parts.
  it('of parts that were at the same crashes are sent and saved together', () => {
    const crashes = [{ life: 1, at: 100 }];
    const news = Array.from({ length: 200 }, (_, index) => ({
      ...{ digest: index.toString(16).padStart(32, '0'), part: `engine/a${index}` },
      ...{ crashes, clearedAt: undefined },
    }));
    const groups = groupAlike(news);
    const told = groups.flatMap((group) => fromMessage(toMessage(group, 1_000), 1_000));
    expect(groups.length).toEqual(4);
    expect(told.map(({ digest }) => digest)).toEqual(news.map(({ digest }) => digest));
    const same = (milliseconds: number) => milliseconds;
    const saved = decodeDocument(encodeDocument(news, same), same);
    expect(saved.map(({ digest }) => digest)).toEqual(news.map(({ digest }) => digest));
    expect(saved.every((one) => one.part !== undefined && one.crashes.length === 1)).toEqual(true);
  });

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
    expect(fromMessage(toMessage({ summary: news, alike: [] }, 1_000), 1_000)).toEqual([news]);
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
    expect(fromMessage(toMessage({ summary: news, alike: [] }, 1_000), 1_000)).toEqual([news]);
    const same = (milliseconds: number) => milliseconds;
    expect(decodeDocument(encodeDocument([news], same), same)).toEqual([news]);
  });
});

import { describe, it } from 'node:test';

import { expect } from 'earl';

import { CrashMoments } from './CrashMoments.js';
import { crashWeight } from './crashWeight.js';
import type { CrashSuspect } from './crashWeight.js';
import { explainCrashes } from './explainCrashes.js';

/** @returns A part of prompts that was running when the given runners crashed, one each second. */
function part(digest: string, ...lives: number[]): CrashSuspect {
  const crashes = lives.map((life) => ({ life, at: life * 1_000 }));
  return { digest, part: `chat/${digest}`, crashes };
}

function request(digest: string, ...lives: number[]): CrashSuspect {
  return { ...part(digest, ...lives), part: undefined };
}

function explain(suspects: readonly CrashSuspect[], now = Number.POSITIVE_INFINITY): string[] {
  const moments = new CrashMoments();
  for (const { crashes } of suspects) for (const crash of crashes) moments.add(crash);
  const weigh = (suspect: CrashSuspect) => crashWeight(suspect, moments);
  const verdicts = explainCrashes(suspects, { weigh, now });
  return verdicts.map(({ digests }) => digests.join('+'));
}

describe(explainCrashes.name, () => {
  it('blames the subject of most crashes, and not those that were beside it at some', () => {
    expect(explain([part('a', 1, 2, 3), part('b', 1, 2, 3, 4), part('c', 2, 4)])).toEqual(['b']);
  });

  it('blames subjects together that were always beside each other', () => {
    expect(explain([part('a', 1, 2, 3), request('r', 1, 2, 3), part('b', 1, 2)])).toEqual(['a+r']);
  });

  it('blames several subjects that explain different crashes', () => {
    const suspects = [part('a', 1, 3, 5, 7), part('b', 2, 4, 6), part('c', 1, 2, 3)];
    expect(explain(suspects)).toEqual(['a', 'b']);
  });

  it('blames nobody for two crashes', () => {
    expect(explain([part('a', 1, 2), request('r', 1, 2)])).toEqual([]);
  });

  describe('that a part and a request beside it were at, within half a second', () => {
    const at = (life: number, time: number) => ({ life, at: time });
    const suspect = (digest: string, crashes: CrashSuspect['crashes'], name?: string) => ({
      ...{ digest, part: name, crashes },
    });
    const known = [at(1, 2_150), at(2, 2_240), at(3, 2_330)];
    const latest = at(4, 2_420);

    // Guards against a sound stream that is refused for a minute because each of its crashes counts.
    it('does not blame the request, though several crashes of the part are of one moment', () => {
      const beside = suspect('r', [at(1, 2_150), at(3, 2_330), latest]);
      expect(explain([suspect('a', [...known, latest], 'chat/a'), beside])).toEqual([]);
    });

    // Guards against a verdict on a sound stream before the reports of its last crash are there.
    it('waits for the reports of the last crash, and no longer', () => {
      const suspects = [
        suspect('a', known, 'chat/a'),
        suspect('r', [at(1, 2_150), at(3, 2_330), latest]),
      ];
      expect(explain(suspects, 2_700)).toEqual([]);
      expect(explain(suspects, 2_800)).toEqual(['r']);
    });

    it('does not wait for a request that was at all crashes of the part', () => {
      const crashes = known.slice(0, 2);
      const suspects = [suspect('a', crashes, 'chat/a'), suspect('r', [...crashes, latest])];
      expect(explain(suspects, 2_430)).toEqual(['r']);
    });
  });

  // Guards against sound parts that are blamed because many runners ended at one moment.
  it('counts crashes at the same moment once against a part, and not at all where most were elsewhere', () => {
    const moments = new CrashMoments();
    const at = (life: number, time: number) => ({ life, at: time });
    const together = [at(1, 1_000), at(2, 1_040), at(3, 1_080)];
    const few = [at(4, 5_000), at(5, 6_000), at(6, 7_000)];
    for (const crash of [...together, ...few]) moments.add(crash);
    const weightOf = (crashes: CrashSuspect['crashes'], name?: string) =>
      crashWeight({ digest: 'a', part: name, crashes }, moments);
    expect([weightOf(together, 'chat/a'), weightOf(together)]).toEqual([1, 3]);
    expect(weightOf(few, 'chat/a')).toEqual(3);
    for (const life of [11, 12, 13]) moments.add(at(life, 6_020));
    expect(weightOf(few, 'chat/a')).toEqual(2);
  });
});

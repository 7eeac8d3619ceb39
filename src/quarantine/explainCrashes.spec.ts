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

function explain(suspects: readonly CrashSuspect[]): string[] {
  const moments = new CrashMoments();
  for (const { crashes } of suspects) for (const crash of crashes) moments.add(crash);
  const verdicts = explainCrashes(suspects, (suspect) => crashWeight(suspect, moments));
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

import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { NonceMemory } from './NonceMemory.js';

const CLOCK_DIFFERENCE = 100;
const MAXIMUM_NONCES = 5;
const RUNS = 2_000;

function memory(): NonceMemory {
  return new NonceMemory({
    windowMilliseconds: 2 * CLOCK_DIFFERENCE,
    maximumNonces: MAXIMUM_NONCES,
  });
}

describe(NonceMemory.name, () => {
  it('takes no nonce twice while its token is good, at any rate of calls', () => {
    // Guards against a recorded call that runs again: more calls than the memory holds drop its nonce, or a new
    // generation starts, and then the call is sent again. A dropped nonce must not count as new.
    const call = fc.record({
      // Mostly short, so that the memory is full long before the window has passed.
      wait: fc.oneof(
        { weight: 5, arbitrary: fc.nat({ max: 4 }) },
        fc.nat({ max: CLOCK_DIFFERENCE }),
      ),
      // Milliseconds by which the caller's clock is ahead.
      ahead: fc.integer({ min: -CLOCK_DIFFERENCE, max: CLOCK_DIFFERENCE }),
      repeat: fc.option(fc.nat({ max: 20 }), { freq: 2 }),
    });
    fc.assert(
      fc.property(fc.array(call, { maxLength: 60, size: 'max' }), (calls) => {
        const nonces = memory();
        const sent: { nonce: string; issuedAt: number }[] = [];
        const taken = new Set<string>();
        let now = 1_000;
        for (const { wait, ahead, repeat } of calls) {
          now += wait;
          const old = repeat === null ? undefined : sent[sent.length - 1 - repeat];
          const token = old ?? { nonce: `${sent.length}`, issuedAt: now + ahead };
          if (!old) sent.push(token);
          if (Math.abs(now - token.issuedAt) > CLOCK_DIFFERENCE) continue;
          const isTaken = nonces.addIfNew(now, token.nonce, token.issuedAt);
          if (isTaken && taken.has(token.nonce)) return false;
          if (isTaken) taken.add(token.nonce);
        }
        return true;
      }),
      { seed: 7, numRuns: RUNS },
    );
  });

  it('goes on taking fresh nonces when it is full', () => {
    // Guards against a daemon that refuses all calls for two minutes after a burst of more calls than the memory
    // holds: a full memory must drop the oldest nonces and not refuse new ones.
    const nonces = memory();
    const refused: number[] = [];
    for (let now = 1_000; now < 1_000 + 10 * MAXIMUM_NONCES; now += 1) {
      if (!nonces.addIfNew(now, `${now}`, now)) refused.push(now);
    }
    expect(refused).toEqual([]);
  });
});

import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ChangeFleet } from './testChangeFleet.js';
import type { Refusal } from './testChangeFleet.js';

/** Time within which a change has to be in force, from its acknowledgement to the last daemon, in ms. */
const BOUND_MILLISECONDS = 2_000;

const REFUSED_AT = 4_000;

/** When daemons lose power, in ms: those that have just read a version are among them. */
const DIED_AT = 5_900;

const VERSIONS = 5;
const BETWEEN_VERSIONS = 1_000;

interface Play {
  readonly daemons: number;
  readonly seed: number;
  readonly fault: Refusal;
  /** Share of the daemons that the store refuses. */
  readonly refused: number;
  /** Share of the daemons that lose power. */
  readonly dead: number;
  /** What happens to the daemons that read the store for others, in a large fleet. */
  readonly readers: 'as others' | 'refused' | 'dead';
}

/** @returns The daemons that had a version in force too late. */
async function play({ daemons, seed, fault, refused, dead, readers }: Play): Promise<string[]> {
  const fleet = new ChangeFleet({ daemons, seed, boundMilliseconds: BOUND_MILLISECONDS });
  const late = new Set<string>();
  while (fleet.now < REFUSED_AT) await fleet.step();
  const isReader = new Set(fleet.readers);
  const others = fleet.daemons.filter(({ name }) => readers === 'as others' || !isReader.has(name));
  const chosen = [...others].sort(() => fleet.random() - 0.5);
  const refusedCount = Math.floor(refused * daemons);
  for (const { name } of chosen.slice(0, refusedCount)) fleet.refused.set(name, fault);
  if (readers === 'refused') for (const name of isReader) fleet.refused.set(name, fault);
  const dying = chosen.slice(refusedCount, refusedCount + Math.floor(dead * daemons));
  if (readers === 'dead') dying.push(...fleet.daemons.filter(({ name }) => isReader.has(name)));
  for (const daemon of dying) daemon.diedAt = DIED_AT;
  const end = REFUSED_AT + VERSIONS * BETWEEN_VERSIONS + BOUND_MILLISECONDS;
  while (fleet.now <= end) {
    const version = 2 + (fleet.now - REFUSED_AT) / BETWEEN_VERSIONS;
    if (Number.isInteger(version) && version < 2 + VERSIONS) fleet.change(version);
    await fleet.step();
    const due = Math.floor((fleet.now - BOUND_MILLISECONDS - REFUSED_AT) / BETWEEN_VERSIONS);
    for (const daemon of fleet.daemons) {
      const isLate = due >= 0 && daemon.version < Math.min(due, VERSIONS - 1) + 2;
      if (isLate && daemon.isAlive) late.add(`${daemon.name}, version ${due + 2}`);
    }
  }
  return [...late];
}

describe('a change on its whole way to the last daemon', () => {
  const troubles = [
    { fault: 'silent', refused: 1 / 3, dead: 1 / 6, readers: 'as others' },
    { fault: 'busy', refused: 2 / 3, dead: 1 / 6, readers: 'as others' },
    { fault: 'silent', refused: 1 / 2, dead: 0, readers: 'refused' },
    { fault: 'silent', refused: 1 / 3, dead: 1 / 6, readers: 'dead' },
  ] as const;
  for (const daemons of [6, 9, 90, 390]) {
    for (const trouble of troubles) {
      const { fault, refused, dead, readers } = trouble;
      const isSmall = daemons < 17;
      if (isSmall && readers !== 'as others') continue;
      const counts = `${Math.floor(refused * daemons)} refused (${fault}), ${Math.floor(dead * daemons)} dead`;
      // Guards against delays that each look short and together are longer than the bound.
      it(`is in force in time at ${daemons} daemons, ${counts}, readers ${readers}`, async () => {
        const late: string[] = [];
        for (let seed = 1; seed <= (isSmall ? 8 : 1); seed += 1)
          late.push(...(await play({ daemons, seed, ...trouble })));
        expect(late).toEqual([]);
      });
    }
  }
});

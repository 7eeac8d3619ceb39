import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { BrokenStream, Call } from '../SoakCallers.js';
import type { Contact } from './Contact.js';
import { VersionChecks } from './VersionChecks.js';
import { Violations } from './Violations.js';

const TAKE_UPS = 12;

function callOf(id: string, status: number, version: string, takesUp?: BrokenStream): Call {
  const body = `id: 1\ndata: token 1 for ${id} by ${version}\n\n`;
  return {
    ...{ id, kind: 'chat', daemon: 0, path: '/chat/x', body: 'body', parts: [] },
    ...{ sentAt: 0, endedAt: 1 },
    answer: { status, headers: {}, body: status === 200 ? body : '', isComplete: true },
    failure: undefined,
    takesUp,
  };
}

/** Looks at streams of v1 that are taken up, and returns the promises that are broken. */
function brokenBy(takeUps: readonly (readonly [status: number, version: string])[]): string[] {
  const violations = new Violations();
  const calls = new Map<string, Call>();
  const engines = () => [{ version: 'v1' }, { version: 'v1' }];
  const contact: Pick<Contact, 'holds'> = { holds: () => true };
  const checks = new VersionChecks({ contact: contact as Contact, violations, calls, engines });
  takeUps.forEach(([status, version], index) => {
    const first = callOf(`call-${index}`, 200, 'v1');
    const second = callOf(`again-${index}`, status, version, { first: first.id, events: 1 });
    calls.set(first.id, first).set(second.id, second);
    checks.checkAnswer(second);
  });
  checks.checkAll();
  return violations.all.map(({ promise }) => promise);
}

describe(VersionChecks.name, () => {
  const whole = Array.from({ length: TAKE_UPS }, () => [200, 'v1'] as const);

  it('allows two streams of two versions, and no third one', () => {
    expect(brokenBy([...whole.slice(2), [200, 'v2'], [200, 'v2']])).toEqual([]);
    expect(brokenBy([...whole.slice(3), [200, 'v2'], [200, 'v2'], [200, 'v2']])).toEqual([
      'streams are of one software version',
    ]);
  });

  it('wants half of the streams that are taken up to go on', () => {
    const refused = Array.from({ length: TAKE_UPS / 2 }, () => [503, ''] as const);
    expect(brokenBy([...whole.slice(TAKE_UPS / 2), ...refused])).toEqual([]);
    expect(brokenBy([...whole.slice(TAKE_UPS / 2 + 1), ...refused, [503, '']])).toEqual([
      'streams go on at their software version',
    ]);
  });
});

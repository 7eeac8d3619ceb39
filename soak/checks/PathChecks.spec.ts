import { describe, it } from 'node:test';

import { expect } from 'earl';

import { FaultHistory } from '../FaultHistory.js';
import type { Call } from '../SoakCallers.js';
import { CONTACT_MILLISECONDS } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import { PathChecks } from './PathChecks.js';
import { Violations } from './Violations.js';

const CUT_DAEMON = 0;
const OTHER_DAEMON = 1;

type Tally = readonly [served: number, sent: number];

function callOf(id: string, daemon: number, status: number): Call {
  const at = performance.now() + 2 * CONTACT_MILLISECONDS;
  return {
    ...{ id, kind: 'read', daemon, path: '/read/x', body: 'body', parts: [] },
    ...{ sentAt: at, endedAt: at + 1 },
    answer: { status, headers: {}, body: '', isComplete: true },
    failure: undefined,
  };
}

/** Looks at requests to a daemon without a path and to one with a path, and returns what was seen if it is too little. */
function seenWith(cut: Tally, others: Tally): string[] {
  const history = new FaultHistory();
  history.begin({ kind: 'path', daemon: CUT_DAEMON, text: 'daemon-0 loses its path' });
  const violations = new Violations();
  const calls = new Map<string, Call>();
  const add = (daemon: number, [served, sent]: Tally) => {
    for (let index = 0; index < sent; index += 1) {
      const call = callOf(`call-${daemon}-${index}`, daemon, index < served ? 200 : 503);
      calls.set(call.id, call);
    }
  };
  add(CUT_DAEMON, cut);
  add(OTHER_DAEMON, others);
  const contact: Pick<Contact, 'holds'> = { holds: () => true };
  new PathChecks({
    history,
    contact: contact as Contact,
    violations,
    calls,
    daemons: 2,
  }).checkAll();
  return violations.all.map(({ text }) => text);
}

describe(PathChecks.name, () => {
  it('wants two thirds of what the others get', () => {
    expect(seenWith([120, 200], [180, 200])).toEqual([]);
    expect(seenWith([119, 200], [180, 200])).toEqual([
      '119 of 200 at cut daemons, 180 of 200 at the others',
    ]);
    expect(seenWith([65, 400], [50, 200])).toEqual([]);
  });

  it('sees that few requests at cut daemons are served where the others are full', () => {
    expect(seenWith([0, 80], [15, 40])).toEqual(['0 of 80 at cut daemons, 15 of 40 at the others']);
    expect(seenWith([40, 400], [60, 200])).toEqual([
      '40 of 400 at cut daemons, 60 of 200 at the others',
    ]);
  });

  it('takes no difference that equal service gives by chance for a broken promise', () => {
    expect(seenWith([18, 87], [15, 44])).toEqual([]);
  });
});

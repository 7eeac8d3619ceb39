import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { ManualClock } from '../time/ManualClock.js';
import { BindingLedger } from './BindingLedger.js';
import { MonotonicCalendar } from './MonotonicCalendar.js';

const LIFETIME = 1_000;

function use(bindingId: string, expiresAt = LIFETIME, clientAccount = 'litoral.showroom') {
  return { bindingId, clientAccount, digest: 'digest', expiresAt };
}

describe(BindingLedger.name, () => {
  // Guards against a request that runs twice because a full ledger makes room by removing a
  // binding that is still valid. Here many bindings are used, then an early one is repeated.
  it('refuses new bindings rather than remove one, and lets no account fill it for others', () => {
    const ledger = new BindingLedger<number>({ maximumBindings: 3, maximumBindingsPerAccount: 2 });
    const kindOf = (...call: Parameters<typeof use>) => ledger.use(0, use(...call), () => 1).kind;
    expect([kindOf('a'), kindOf('b'), kindOf('c')]).toEqual(['first', 'first', 'full']);
    expect(kindOf('d', 700, 'punkt.agents')).toEqual('first');
    expect(kindOf('e', 700, 'punkt.agents')).toEqual('full');
    expect([kindOf('a'), kindOf('b')]).toEqual(['repeat', 'repeat']);
    expect([ledger.retryAfter(100, 'litoral.showroom'), ledger.canAccept(0, 'x')]).toEqual([
      900,
      false,
    ]);
    expect([ledger.canAccept(700, 'x'), ledger.size()]).toEqual([true, 2]);
  });

  it('keeps the answers of different requests apart', () => {
    const ledger = new BindingLedger<number>();
    ledger.use(0, use('a'), () => 1);
    const other = { ...use('a'), digest: 'another request' };
    expect(ledger.use(1, other, () => 2)).toEqual({ kind: 'other_request' });
  });

  it('starts a run at most once for each binding, whenever and however often it is used', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            after: fc.nat({ max: 400 }),
            binding: fc.nat({ max: 5 }),
            account: fc.constantFrom('a', 'b'),
          }),
        ),
        (uses) => {
          const starts = new Map<string, number>();
          const ledger = new BindingLedger({ maximumBindings: 4, maximumBindingsPerAccount: 3 });
          let now = 0;
          for (const { after, binding, account } of uses) {
            now += after;
            const id = `${account}${binding}`;
            const verdict = ledger.use(now, use(id, LIFETIME + binding * 200, account), () =>
              starts.set(id, (starts.get(id) ?? 0) + 1),
            );
            expect(ledger.size() <= 4).toEqual(true);
            if (verdict.kind === 'expired') expect(now >= LIFETIME + binding * 200).toEqual(true);
            if (verdict.kind === 'first') expect(starts.get(id)).toEqual(1);
          }
          for (const count of starts.values()) expect(count).toEqual(1);
        },
      ),
      { seed: 7 },
    );
  });

  // Guards against a reservation that is made twice after an operator corrected a clock. Here a
  // binding is used and expires, the wall clock is set back, and the caller repeats the request.
  // It happens if expiry and removal use different clocks, one of which can go back.
  it('accepts no removed binding when the wall clock goes back', () => {
    let wall = 1_000_000;
    const clock = new ManualClock({ wallMilliseconds: wall });
    clock.wallMilliseconds = () => wall;
    const calendar = new MonotonicCalendar(clock);
    const ledger = new BindingLedger<number>();
    const binding = use('a', calendar.now() + LIFETIME);
    expect(ledger.use(calendar.now(), binding, () => 1).kind).toEqual('first');
    clock.advance(LIFETIME);
    wall -= 500_000;
    expect(ledger.use(calendar.now(), binding, () => 2).kind).toEqual('expired');
    expect([ledger.size(), calendar.mayHavePassed(binding.expiresAt)]).toEqual([0, true]);
    // Only the wall clock shows that a whole instance was suspended.
    const later = calendar.now() + LIFETIME;
    expect(calendar.mayHavePassed(later)).toEqual(false);
    wall = later;
    expect(calendar.mayHavePassed(later)).toEqual(true);
  });
});

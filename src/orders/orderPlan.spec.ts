import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { UpstreamState } from '../upstreams/Upstream.js';
import { compareWithWanted, nextOrder } from './orderPlan.js';
import type { WantedState } from './poolTypes.js';

const WANTED: WantedState = {
  model: 'tile',
  version: '2',
  weightBytes: 1,
  adapters: ['quotations'],
  role: 'decode',
};

const REACHED: UpstreamState = {
  model: 'tile',
  versions: ['2'],
  adapters: ['quotations'],
  role: 'decode',
  loading: [],
};

function without(list: readonly string[], item: string): string[] {
  return list.filter((each) => each !== item);
}

function stateAfter(
  state: UpstreamState,
  order: Exclude<ReturnType<typeof nextOrder>, 'loading' | undefined>,
): UpstreamState {
  const { versions, adapters } = state;
  if (order.kind === 'load_version') return { ...state, versions: [...versions, order.version] };
  if (order.kind === 'unload_version')
    return { ...state, versions: without(versions, order.version) };
  if (order.kind === 'load_adapter') return { ...state, adapters: [...adapters, order.adapter] };
  if (order.kind === 'unload_adapter')
    return { ...state, adapters: without(adapters, order.adapter) };
  return { ...state, role: order.role };
}

describe('order plan', () => {
  const cases: [string, Partial<UpstreamState>, string, string][] = [
    ['all as wanted', {}, 'matches', 'nothing'],
    ['the old version', { versions: ['1'] }, 'differs', 'unload_version 1'],
    ['nothing loaded', { versions: [] }, 'empty', 'load_version 2'],
    ['both versions', { versions: ['1', '2'] }, 'differs', 'unload_version 1'],
    ['loading', { versions: [], loading: ['2'] }, 'empty', 'loading'],
    ['another role', { role: 'prefill' }, 'differs', 'change_role decode'],
    ['a missing adapter', { adapters: [] }, 'matches', 'load_adapter quotations'],
    ['a surplus adapter', { adapters: ['x', 'quotations'] }, 'matches', 'unload_adapter x'],
    ['another model', { model: 'parcel' }, 'other_model', 'nothing'],
  ];
  for (const [name, change, match, order] of cases) {
    it(`knows the next step from: ${name}`, () => {
      const observed = { ...REACHED, ...change };
      expect(compareWithWanted(WANTED, observed)).toEqual(
        match as ReturnType<typeof compareWithWanted>,
      );
      if (match === 'other_model') return;
      const next = nextOrder(WANTED, observed) ?? 'nothing';
      const text = typeof next === 'string' ? next : Object.values(next).join(' ');
      expect(text.replace(' tile ', ' ')).toEqual(order);
    });
  }

  it('reaches what is wanted from any state, order by order', () => {
    for (const versions of [[], ['1'], ['1', '3'], ['2', '1']]) {
      for (const adapters of [[], ['x'], ['x', 'quotations', 'y']]) {
        let observed: UpstreamState = { ...REACHED, versions, adapters, role: 'mixed' };
        for (let step = 0; step < 10; step += 1) {
          const order = nextOrder(WANTED, observed);
          if (order === undefined || order === 'loading') break;
          observed = stateAfter(observed, order);
        }
        expect(observed).toEqual(REACHED);
      }
    }
  });
});

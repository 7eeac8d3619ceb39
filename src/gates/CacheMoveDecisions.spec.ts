import { describe, it } from 'node:test';

import { expect } from 'earl';

import { CacheMoveDecisions } from './CacheMoveDecisions.js';
import type { CacheMoveAction, MovableCache } from './CacheMoveDecisions.js';

const KILOBYTE = 1_000;

function cacheOf(chat: string, cachedTokens: number, changes: Partial<MovableCache> = {}) {
  const places = { service: 'chats', from: 'runner-1', to: 'runner-2' };
  return { chat, cachedTokens, ...places, prefillTokensPerSecond: 0, ...changes };
}

function textOf(action: CacheMoveAction): string {
  return action.kind === 'move' ? `move ${action.cache.chat}` : `${action.chat} ${action.reason}`;
}

function decisionsOf(bytesPerToken = 10 * KILOBYTE): CacheMoveDecisions {
  return new CacheMoveDecisions({
    maximumMoves: 2,
    bytesPerToken,
    bytesPerSecond: 1_000_000 * KILOBYTE,
    prefillTokensPerSecond: 10_000,
  });
}

describe(CacheMoveDecisions.name, () => {
  // Copying a token takes 10 µs and a move 20 ms; rebuilding a token takes 100 µs.
  for (const { tokens, prefill, expected } of [
    { tokens: 200, prefill: 0, expected: 'x rebuild_is_cheaper' },
    { tokens: 1_000, prefill: 0, expected: 'move x' },
    { tokens: 1_000, prefill: 100_000, expected: 'x rebuild_is_cheaper' },
    { tokens: 100_000, prefill: 100_000, expected: 'x rebuild_is_cheaper' },
    { tokens: 100_000, prefill: 50_000, expected: 'move x' },
  ]) {
    it(`${tokens} tokens, rebuilt at ${prefill || 'the usual'} rate: ${expected}`, () => {
      const cache = cacheOf('x', tokens, { prefillTokensPerSecond: prefill });
      const actions = decisionsOf().decide(0, { kind: 'runner_leaving', caches: [cache] });
      expect(actions.map(textOf)).toEqual([expected]);
    });
  }

  it('moves a few at a time, in order, and stops when moves prove slower than rebuilding', () => {
    // Guards against useless copies that fill the network for minutes: a runner leaves whose caches are far
    // larger than the settings say, and the measured moves do not correct the estimate.
    const decisions = decisionsOf();
    const caches = ['a', 'b', 'c', 'd'].map((chat) => cacheOf(chat, 10_000));
    const first = decisions.decide(0, { kind: 'runner_leaving', caches });
    expect(first.map(textOf)).toEqual(['move a', 'move b']);
    const slow = { bytes: 100_000 * KILOBYTE, milliseconds: 100_000 };
    const next = ['a', 'b'].flatMap((chat) =>
      decisions.decide(1, { kind: 'moved', chat, from: 'runner-1', ...slow }),
    );
    expect(next.map(textOf)).toEqual(['move c', 'move d']);
    for (let index = 0; index < 10; index += 1) {
      decisions.decide(2, { kind: 'runner_leaving', caches: [cacheOf(`more ${index}`, 10_000)] });
      for (const chat of ['c', 'd', `more ${index}`]) {
        decisions.decide(2, { kind: 'moved', chat, from: 'runner-1', ...slow });
      }
    }
    const last = decisions.decide(3, { kind: 'runner_leaving', caches: [cacheOf('z', 10_000)] });
    expect(last.map(textOf)).toEqual(['z rebuild_is_cheaper']);
  });

  // Guards against runners that leave without a single move although the link is fast: the settings name a slower
  // link, or larger caches, than there are, and an estimate that rules out every move is never corrected, because
  // only moves correct it.
  for (const { milliseconds, bytes, expected } of [
    { milliseconds: 30, bytes: 100_000 * KILOBYTE, expected: ['move chat 2', 'move chat 3'] },
    { milliseconds: 2_000, bytes: 100_000 * KILOBYTE, expected: [] },
    { milliseconds: 2_000, bytes: 0, expected: [] },
  ]) {
    it(`measures the link with one move: ${bytes} bytes in ${milliseconds} ms`, () => {
      const decisions = decisionsOf(1_000 * KILOBYTE);
      const leave = (now: number, count: number) => {
        const caches = Array.from({ length: count }, (_, index) =>
          cacheOf(`chat ${index}`, index === 0 ? 100 : 10_000),
        );
        const actions = decisions.decide(now, { kind: 'runner_leaving', caches });
        return actions.map(textOf).filter((text) => text.startsWith('move'));
      };
      expect(leave(0, 31)).toEqual([]);
      expect(leave(1, 40)).toEqual(['move chat 1']);
      const moved = {
        kind: 'moved',
        chat: 'chat 1',
        from: 'runner-1',
        bytes,
        milliseconds,
      } as const;
      const next = decisions.decide(2_000, moved).map(textOf);
      expect(next.filter((text) => text.startsWith('move'))).toEqual(expected);
      expect(next.filter((text) => text.endsWith('rebuild_is_cheaper'))).toHaveLength(
        expected.length > 0 ? 1 : 39,
      );
      if (expected.length > 0) return;
      expect([leave(3_000, 40), leave(600_000, 40), leave(600_001, 40)]).toEqual([
        [],
        [],
        ['move chat 1'],
      ]);
    });
  }

  it('gives up the caches of a runner whose moves fail in a row, and those only', () => {
    // Guards against thousands of warnings after a runner has left: it stops before all of its caches are moved,
    // and each of the waiting moves is then tried and fails.
    const decisions = decisionsOf();
    const caches = Array.from({ length: 2_000 }, (_, index) => cacheOf(`chat ${index}`, 10_000));
    decisions.decide(0, { kind: 'runner_leaving', caches });
    const other = cacheOf('other', 10_000, { from: 'runner-3' });
    decisions.decide(1, { kind: 'runner_leaving', caches: [other] });
    const fail = (index: number) =>
      decisions.decide(2, { kind: 'move_failed', chat: `chat ${index}`, from: 'runner-1' });
    const moved = { kind: 'moved', from: 'runner-1', bytes: KILOBYTE, milliseconds: 30 } as const;
    for (let index = 0; index < 4; index += 1) expect(fail(index)).toHaveLength(1);
    decisions.decide(2, { ...moved, chat: 'chat 4' });
    for (let index = 5; index < 9; index += 1) expect(fail(index)).toHaveLength(1);
    const last = fail(9).map(textOf);
    expect(last.at(-1)).toEqual('move other');
    expect(last.filter((text) => text.endsWith('moves_fail'))).toHaveLength(2_000 - 11);
  });

  it('moves a hot chat before those of a leaving runner that wait', () => {
    // Guards against a hot chat that is rebuilt again and again while a runner leaves: the chat is refused twice,
    // and its move waits behind the thousands of moves of the leaving runner.
    const decisions = decisionsOf();
    const caches = Array.from({ length: 1_000 }, (_, index) => cacheOf(`chat ${index}`, 10_000));
    decisions.decide(0, { kind: 'runner_leaving', caches });
    const cache = cacheOf('hot', 10_000, { from: 'runner-3' });
    decisions.decide(1, { kind: 'warm_refused', cache });
    expect(decisions.decide(2, { kind: 'warm_refused', cache })).toEqual([]);
    const ended = { kind: 'needless', from: 'runner-1' } as const;
    const next = ['chat 0', 'chat 1'].flatMap((chat) => decisions.decide(3, { ...ended, chat }));
    expect(next.map(textOf)).toEqual(['move hot', 'move chat 2']);
  });

  it('goes on with the next move when one proves needless or fails', () => {
    const decisions = decisionsOf();
    const caches = ['a', 'b', 'c', 'd'].map((chat) => cacheOf(chat, 10_000));
    decisions.decide(0, { kind: 'runner_leaving', caches });
    const next = (['needless', 'move_failed'] as const).map((kind, index) =>
      decisions.decide(1, { kind, chat: ['a', 'b'][index]!, from: 'runner-1' }).map(textOf),
    );
    expect(next).toEqual([['move c'], ['move d']]);
  });

  it('moves a warm chat that is refused twice in a short time, and then not again for a while', () => {
    const decisions = decisionsOf();
    const cache = cacheOf('hot', 10_000);
    const refuse = (now: number) =>
      decisions.decide(now, { kind: 'warm_refused', cache }).map(textOf);
    expect(refuse(0)).toEqual(['hot not_hot']);
    expect(refuse(20_000)).toEqual(['hot not_hot']);
    expect(refuse(21_000)).toEqual(['move hot']);
    decisions.decide(22_000, { kind: 'move_failed', chat: 'hot', from: 'runner-1' });
    expect(refuse(23_000)).toEqual(['hot not_hot']);
    expect(refuse(24_000)).toEqual(['hot moved_lately']);
    expect([refuse(60_000), refuse(61_000)]).toEqual([['hot not_hot'], ['move hot']]);
  });
});

import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { PrefixCache } from '../../standIns/runners/PrefixCache.js';
import type { CacheEvent } from '../upstreams/Upstream.js';
import { GateTaskPrefixCacheIndex } from './GateTaskPrefixCacheIndex.js';

function stored(number: number, chat: string, cachedTokens = 100): CacheEvent {
  return { number, kind: 'stored', chat, cachedTokens };
}

describe(GateTaskPrefixCacheIndex.name, () => {
  it('forgets as many of the oldest chats as events are missing', () => {
    // Guards against chats that are routed to runners which no longer have them cached: two eviction events
    // are lost, the gap in the event numbers is not noticed, and evicted chats count as cached for ever.
    const knowledge = new GateTaskPrefixCacheIndex();
    knowledge.applyEvents([stored(1, 'a'), stored(2, 'b'), stored(3, 'c')]);
    const { changes, lost } = knowledge.applyEvents([stored(6, 'd')]);
    expect(lost).toEqual(2);
    expect(changes).toEqual([
      { chat: 'a', cachedTokens: 0 },
      { chat: 'b', cachedTokens: 0 },
      { chat: 'd', cachedTokens: 100 },
    ]);
    expect(knowledge.recentChats().map(({ chat }) => chat)).toEqual(['d', 'c']);
  });

  it('skips duplicate events, and is cleared when the runner restarts', () => {
    const knowledge = new GateTaskPrefixCacheIndex();
    knowledge.applyEvents([stored(1, 'a'), stored(2, 'b')]);
    expect(knowledge.applyEvents([stored(1, 'a', 5), stored(2, 'b')])).toEqual({
      changes: [],
      lost: 0,
    });
    expect(knowledge.reset().map(({ cachedTokens }) => cachedTokens)).toEqual([0, 0]);
    expect(knowledge.applyEvents([stored(1, 'c')]).changes.length).toEqual(1);
  });

  it('contains no more chats than fit into the cache, whichever events are lost', () => {
    const chats = fc.constantFrom(...'abcdefghijklmnop');
    const step = fc.record({ chat: chats, lost: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
        let loses = false;
        const cache = new PrefixCache({ capacityTokens: 500, loses: () => loses });
        const knowledge = new GateTaskPrefixCacheIndex();
        cache.store('first', 100);
        knowledge.applyEvents(cache.eventsAfter(0));
        for (const { chat, lost } of steps) {
          loses = lost;
          cache.store(chat, 100);
          knowledge.applyEvents(cache.eventsAfter(knowledge.lastNumber));
        }
        loses = false;
        cache.store('last', 100);
        knowledge.applyEvents(cache.eventsAfter(knowledge.lastNumber));
        // Five chats fit into the cache. A lost event that was no eviction makes the index forget one chat
        // too many; it never keeps one too many.
        const known = knowledge.recentChats().map(({ chat }) => chat);
        expect(known.length <= 5).toEqual(true);
        expect(known[0]).toEqual('last');
      }),
    );
  });
});

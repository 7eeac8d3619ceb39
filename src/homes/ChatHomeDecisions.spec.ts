import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ChatHomeDecisions } from './ChatHomeDecisions.js';
import type { WarmRunnerEntry } from './homeTypes.js';

function report(
  home: ChatHomeDecisions,
  now: number,
  chat: string,
  runnerId: string,
  cachedTokens: number,
): void {
  home.decide(now, { kind: 'tell', service: 'assistant', chat, runnerId, cachedTokens });
}

function lookUp(home: ChatHomeDecisions, now: number, chat: string): readonly WarmRunnerEntry[] {
  const [answer] = home.decide(now, { kind: 'ask', question: 'q', service: 'assistant', chat });
  return answer!.warm;
}

function runnersOf(home: ChatHomeDecisions, chat: string, now = 1_000): string[] {
  return lookUp(home, now, chat).map(({ runnerId }) => runnerId);
}

describe(ChatHomeDecisions.name, () => {
  it('lists runners with the most cached tokens first and with the age of each entry', () => {
    const home = new ChatHomeDecisions();
    report(home, 0, 'chat', 'a', 100);
    report(home, 10, 'chat', 'b', 300);
    expect(lookUp(home, 30, 'chat')).toEqual([
      { runnerId: 'b', cachedTokens: 300, ageMilliseconds: 20 },
      { runnerId: 'a', cachedTokens: 100, ageMilliseconds: 30 },
    ]);
    expect(lookUp(home, 30, 'unknown')).toEqual([]);
  });

  it('limits the runners of a chat and the chats, and removes the oldest entries', () => {
    const home = new ChatHomeDecisions({ maximumChats: 2, maximumRunners: 2 });
    ['a', 'b', 'c'].forEach((runner, index) => report(home, index, 'one', runner, 100));
    expect(runnersOf(home, 'one').sort()).toEqual(['b', 'c']);
    report(home, 10, 'two', 'a', 1);
    report(home, 11, 'one', 'b', 200);
    report(home, 12, 'three', 'a', 1);
    expect(home.size).toEqual(2);
    expect(runnersOf(home, 'two')).toEqual([]);
  });

  it('removes evicted entries, those of cleared runners and expired ones', () => {
    // Guards against chats that are sent for hours to a restarted runner whose cache is empty, because their
    // home still lists it.
    const home = new ChatHomeDecisions({ forgetAfterMilliseconds: 5_000 });
    report(home, 0, 'chat', 'a', 100);
    report(home, 0, 'chat', 'b', 100);
    report(home, 0, 'chat', 'c', 100);
    report(home, 1, 'chat', 'a', 0);
    home.decide(2, { kind: 'runner_cleared', runnerId: 'b' });
    expect(runnersOf(home, 'chat')).toEqual(['c']);
    expect(runnersOf(home, 'chat', 5_001)).toEqual([]);
    report(home, 3, 'chat', 'c', 0);
    expect(home.size).toEqual(0);
  });
});

import { describe, it } from 'node:test';

import { expect } from 'earl';

import { RunnerChoice } from './RunnerChoice.js';
import { RunnerTable } from './RunnerTable.js';
import { WarmPlaces } from './WarmPlaces.js';

const MEBIBYTE = 1_048_576;

/** Names of runners, twelve of which are places of each key. */
const LIVES = Array.from({ length: 12 }, (_, index) => `runner-${index}@1700000000000`);

function charactersIn(places: WarmPlaces): number {
  const all = places.export(Number.POSITIVE_INFINITY);
  return all.reduce((sum, { key, lives }) => sum + key.length + lives.join('').length, 0);
}

function choiceFor(warmPlaces: WarmPlaces, onWarmPlace: (key: string) => void): RunnerChoice {
  const runners = new RunnerTable();
  const place = { host: '127.0.0.1', port: 9_000, dataCentre: 'here' };
  runners.put({ id: 'engine', life: 'engine', service: 'chat', state: 'ready', ...place });
  return new RunnerChoice({ runners, dataCentre: 'here', warmPlaces, onWarmPlace });
}

describe(WarmPlaces.name, () => {
  // Guards against a process that runs out of memory for the prefixes of prompts that have many parts.
  it('keeps a bound in bytes for prompts of many parts', () => {
    const warmPlaces = new WarmPlaces();
    const told: string[] = [];
    const choice = choiceFor(warmPlaces, (key) => told.push(key));
    for (let prompt = 0; prompt < 20; prompt += 1) {
      const sharedParts = Array.from({ length: 1_400 }, (_, part) => `${prompt}f${part}`);
      const asked = { service: 'chat', tried: new Set<string>(), connectionLimit: 9, now: 0 };
      choice.choose({ ...asked, sharedParts });
    }
    expect(charactersIn(warmPlaces)).toBeLessThan(4 * MEBIBYTE);
    expect(told.join('').length).toBeLessThan(4 * MEBIBYTE);
  });

  // Guards against the same by places that other daemons or the store name.
  it('keeps a bound in bytes for places that others name', () => {
    const warmPlaces = new WarmPlaces();
    for (let index = 0; index < 2_000; index += 1) {
      const key = `${index},`.padEnd(12_000, 'a');
      for (const life of LIVES) warmPlaces.learn(key, life);
      warmPlaces.import([{ key: `${key}b`, lives: [...LIVES, 'c'.repeat(100_000)] }]);
    }
    expect(charactersIn(warmPlaces)).toBeLessThan(4 * MEBIBYTE);
  });

  it('drops the least recently used places above its bound', () => {
    const warmPlaces = new WarmPlaces({ maximumBytes: 10_000 });
    for (let index = 0; index < 200; index += 1) {
      warmPlaces.remember('shared', 'runner-1');
      warmPlaces.remember(`own-${index}`, 'runner-2');
    }
    expect(warmPlaces.livesOf('shared')).toEqual(['runner-1']);
    expect(warmPlaces.livesOf('own-0')).toEqual([]);
    expect(warmPlaces.livesOf('own-199')).toEqual(['runner-2']);
  });

  // Guards against a client whose prompts are all different, beside which the others find no warm runner any more.
  it('keeps the places that are used again beside many that are used once', () => {
    const warmPlaces = new WarmPlaces({ maximumBytes: 100_000 });
    const chats = Array.from({ length: 50 }, (_, index) => `chat-${index}`);
    for (const chat of [...chats, ...chats]) warmPlaces.remember(chat, 'runner-1');
    for (let index = 0; index < 50_000; index += 1) warmPlaces.remember(`own-${index}`, 'runner-2');
    expect(chats.filter((chat) => warmPlaces.livesOf(chat).length === 0)).toEqual([]);
    const saved = new Set(warmPlaces.export(50).map(({ key }) => key));
    expect(chats.filter((chat) => !saved.has(chat))).toEqual([]);
  });

  it('keeps places that are new beside many that are used again', () => {
    const warmPlaces = new WarmPlaces({ maximumBytes: 100_000 });
    for (let index = 0; index < 10_000; index += 1) {
      for (let use = 0; use < 2; use += 1) warmPlaces.remember(`chat-${index}`, 'runner-1');
    }
    for (let index = 0; index < 50; index += 1) warmPlaces.remember(`new-${index}`, 'runner-2');
    expect(warmPlaces.livesOf('new-0')).toEqual(['runner-2']);
  });
});

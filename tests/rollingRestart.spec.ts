/**
 * A rolling upgrade under load: all daemons are replaced one after the other.
 */
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { FleetUnderTest, until } from './FleetUnderTest.js';
import { inexact } from './ManyChats.js';

const CHATS = 16;

const world = new FleetUnderTest();

describe('a rolling restart', () => {
  before(() => world.start());

  after(() => world.stop());

  it('costs no answer, daemon by daemon, with streams open throughout', async () => {
    // Guards against lost answers in a rolling restart: gates and homes must not move faster than the daemons' lists
    // agree on them.
    for (const daemon of world.fleet.runningDaemons()) {
      const chats = world.chats();
      const asked = chats.ask(CHATS, `rolling-${daemon.id}`);
      await until(() => chats.streaming === CHATS);
      daemon.program.signal('SIGTERM');
      expect(await daemon.program.ended).toEqual({ code: 0, signal: null });
      expect(inexact(await asked)).toEqual([]);
      await world.restart(daemon);
    }
  });
});

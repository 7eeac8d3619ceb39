import { afterEach, describe, it, mock } from 'node:test';

import { create } from '@bufbuild/protobuf';
import type { Client, HandlerContext } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import { FleetState } from '../fleet/FleetState.js';
import type { HomeChange, PeerService } from '../generated/baobabdock/v1/peers_pb.js';
import {
  AskHomeResponseSchema,
  HomeChangeSchema,
  MemberSchema,
  TellHomeResponseSchema,
} from '../generated/baobabdock/v1/peers_pb.js';
import { PeerLink } from '../peers/PeerLink.js';
import { ManualClock } from '../time/ManualClock.js';
import { ChatHomeDecisions } from './ChatHomeDecisions.js';
import { homesSettings } from './homesFeature.js';
import { HomeTask } from './HomeTask.js';
import { HomeTaskDirectory } from './HomeTaskDirectory.js';
import type { LocalWarmRunner } from './LocalWarmRunners.js';
import { LocalWarmRunners } from './LocalWarmRunners.js';

type HomeCalls = Pick<Client<typeof PeerService>, 'askHome' | 'tellHome'>;

/** Records calls and fails those to daemons that are down. */
class FakeLink extends PeerLink {
  readonly asked: string[] = [];

  readonly told: { daemonId: string; changes: readonly HomeChange[] }[] = [];

  readonly down = new Set<string>();

  override clientFor(daemonId: string): Client<typeof PeerService> {
    const calls: HomeCalls = {
      askHome: async () => {
        this.asked.push(daemonId);
        this.failIfDown(daemonId);
        return create(AskHomeResponseSchema, { warm: [{ runnerId: 'r', cachedTokens: 9 }] });
      },
      tellHome: async ({ changes = [] }) => {
        this.told.push({ daemonId, changes: changes as HomeChange[] });
        this.failIfDown(daemonId);
        return create(TellHomeResponseSchema, {});
      },
    };
    return calls as Client<typeof PeerService>;
  }

  override close(): void {}

  private failIfDown(daemonId: string): void {
    if (this.down.has(daemonId)) throw new ConnectError('late', Code.DeadlineExceeded);
  }
}

/** One local gate whose runner has every chat cached. */
class OneGate extends LocalWarmRunners {
  constructor(private readonly place: LocalWarmRunner) {
    super();
  }

  override runnersFor(): readonly LocalWarmRunner[] {
    return [this.place];
  }
}

const tasks: HomeTask[] = [];

afterEach(() => {
  tasks.splice(0).forEach((task) => task.stop());
  mock.timers.reset();
});

function setUp(settings: Partial<ReturnType<typeof homesSettings.parse>> = {}) {
  const members = ['here', 'there'].map((daemonId) =>
    create(MemberSchema, { daemonId, state: 'alive', region: 'rosario', dataCentre: 'rosario-1' }),
  );
  const fleet = new FleetState({ self: members[0]! });
  fleet.applyMember(members[1]!);
  const clock = new ManualClock();
  const link = new FakeLink();
  const directory = new HomeTaskDirectory({ decisions: new ChatHomeDecisions(), clock });
  // The specs flush by hand; the interval is too long to pass.
  const parsed = homesSettings.parse({ tellIntervalMilliseconds: 3_600_000, ...settings });
  const task = new HomeTask({ directory, fleet, link, clock, settings: parsed });
  tasks.push(task);
  const chats = Array.from({ length: 40 }, (_, index) => `chat-${index}`);
  const homeIs = (home: string) => chats.filter((chat) => fleet.homeOf(chat)?.daemonId === home);
  return { task, link, clock, fleet, ownChats: homeIs('here'), remoteChats: homeIs('there') };
}

function change(chat: string, cachedTokens = 5): HomeChange {
  return create(HomeChangeSchema, { chat, service: 's', runnerId: 'r', cachedTokens });
}

describe(HomeTask.name, () => {
  it('looks up its own directory without a call, and calls another home', async () => {
    const { task, link, ownChats, remoteChats } = setUp();
    task.reportChanges([change(ownChats[0]!, 77)]);
    expect((await task.findWarmRunners(ownChats[0]!, 's'))[0]?.cachedTokens).toEqual(77);
    expect(link.asked).toEqual([]);
    expect((await task.findWarmRunners(remoteChats[0]!, 's'))[0]?.cachedTokens).toEqual(9);
    task.clearRunner('r');
    expect(await task.findWarmRunners(ownChats[0]!, 's')).toEqual([]);
  });

  it('continues without a home that times out, and pauses calls to it', async () => {
    // Guards against requests of some chats that all start 40 ms late, because their home hangs and each of
    // them waits for the timeout.
    const { task, link, clock, remoteChats } = setUp();
    link.down.add('there');
    for (let ask = 0; ask < 5; ask += 1)
      expect(await task.findWarmRunners(remoteChats[0]!, 's')).toEqual([]);
    expect(link.asked.length).toEqual(3);
    link.down.clear();
    clock.advance(2_000);
    expect((await task.findWarmRunners(remoteChats[0]!, 's')).length).toEqual(1);
  });

  it('batches changes by home, sends only the newest of a chat, and drops the oldest', async () => {
    // Guards against a queue that grows without limit while a home is unavailable and its chats have many cache
    // events.
    const { task, link, remoteChats } = setUp({
      maximumQueuedChanges: 3,
      maximumChangesPerInterval: 2,
    });
    const [a, b, c, d] = remoteChats as [string, string, string, string];
    task.reportChanges([change(a, 1), change(b, 2), change(b, 3), change(c, 4), change(d, 5)]);
    expect(task.droppedChanges).toEqual(1);
    await task.flush();
    await task.flush();
    const told = link.told.map(({ daemonId, changes }) => [
      daemonId,
      ...changes.map(({ cachedTokens }) => cachedTokens),
    ]);
    expect(told).toEqual([
      ['there', 3, 4],
      ['there', 5],
    ]);
  });

  it('stores the changes that peers send, except those with a name that is too long', async () => {
    const { task, ownChats } = setUp();
    const handlers = task.handlers();
    const context = {} as HandlerContext;
    const changes = [change(ownChats[0]!, 6), change('x'.repeat(600), 6)];
    await handlers.tellHome!({ changes, $typeName: 'baobabdock.v1.TellHomeRequest' }, context);
    const ask = async (chat: string) =>
      (
        await handlers.askHome!(
          { chat, service: 's', $typeName: 'baobabdock.v1.AskHomeRequest' },
          context,
        )
      ).warm?.length;
    expect(await ask(ownChats[0]!)).toEqual(1);
    expect(await ask('x'.repeat(600))).toEqual(0);
  });

  it('stores a queued change here if this daemon becomes the home of its chat', async () => {
    const { task, link, fleet, remoteChats } = setUp();
    task.reportChanges([change(remoteChats[0]!, 8)]);
    fleet.removeMember('there');
    await task.flush();
    expect(link.told).toEqual([]);
    expect((await task.findWarmRunners(remoteChats[0]!, 's'))[0]?.cachedTokens).toEqual(8);
  });

  it('calls no home if a local warm runner has room, else adds the entries of the home', async () => {
    // Guards against control traffic that grows with the number of requests: locate sends a chat to the daemon
    // with its gate, and that daemon would ask the chat's home for what its own gate knows already.
    const { task, link, remoteChats } = setUp();
    const own = { runnerId: 'own', cachedTokens: 5 };
    const ask = async () =>
      (await task.findWarmRunners(remoteChats[0]!, 's')).map(({ runnerId }) => runnerId);
    task.setLocalWarmRunners(new OneGate({ ...own, hasRoom: true }));
    expect([await ask(), link.asked.length]).toEqual([['own'], 0]);
    task.setLocalWarmRunners(new OneGate({ ...own, hasRoom: false }));
    expect([await ask(), link.asked.length]).toEqual([['r', 'own'], 1]);
    link.down.add('there');
    expect(await ask()).toEqual(['own']);
  });

  it('sends a home only significant changes', async () => {
    // Guards against a message for each answer, because each answer makes its chat's prefix a little longer.
    const { task, link, remoteChats } = setUp();
    const tellOf = async (cachedTokens: number) => {
      const before = link.told.length;
      task.reportChanges([change(remoteChats[0]!, cachedTokens)]);
      await task.flush();
      await task.flushDeferred();
      return link.told.length > before;
    };
    const told: boolean[] = [];
    for (const tokens of [100, 110, 149, 150, 224, 160, 100, 0, 100]) {
      told.push(await tellOf(tokens));
    }
    expect(told).toEqual([true, false, false, true, false, false, true, true, true]);
  });

  const cases = [
    { name: 'a home that restarted', incarnation: 2n, wait: 0, down: false },
    { name: 'a home whose message was lost', incarnation: 0n, wait: 0, down: true },
    { name: 'a home whose entry is old', incarnation: 0n, wait: 3 * 3_600_000, down: false },
  ];
  for (const { name, incarnation, wait, down } of cases) {
    it(`sends a change again to ${name}`, async () => {
      // Guards against a chat that misses the cache at every turn although a runner has its prefix: the home
      // lost the entry, and the gate's daemon still counts it as known there.
      const { task, link, clock, fleet, remoteChats } = setUp();
      if (down) link.down.add('there');
      task.reportChanges([change(remoteChats[0]!, 100)]);
      await task.flush();
      link.down.clear();
      clock.advance(wait);
      fleet.applyMember({ ...fleet.members()[1]!, incarnation });
      task.reportChanges([change(remoteChats[0]!, 101)]);
      await task.flush();
      expect(link.told.length).toEqual(2);
    });
  }

  it('sends evictions and growth with the next message to the same home, or alone after a delay', async () => {
    const { task, link, remoteChats } = setUp();
    const [a, b, c] = remoteChats as [string, string, string];
    task.reportChanges([change(a, 0), change(b, 0)]);
    await task.flush();
    expect(link.told).toEqual([]);
    // The prefix is cached again before its eviction was sent: only the newest change is sent.
    task.reportChanges([change(b, 7)]);
    await task.flush();
    task.reportChanges([change(c, 0), change(b, 70)]);
    await task.flush();
    await task.flushDeferred();
    const told = link.told.map(({ changes }) => changes.map(({ chat }) => chat));
    expect(told).toEqual([
      [b, a],
      [c, b],
    ]);
  });

  it('sends a new warm runner at once, but batches many changes', () => {
    // Guards against a chat that misses the cache because it returns within 250 ms of its answer, while the
    // change with its warm runner waits for the end of the interval.
    mock.timers.enable({ apis: ['setTimeout'] });
    const interval = 250;
    const settings = { tellIntervalMilliseconds: interval, maximumPromptMessages: 2 };
    const { task, link, clock, remoteChats } = setUp(settings);
    const tellOf = (names: readonly string[]) => {
      task.reportChanges(names.map((name) => change(name)));
      mock.timers.tick(1);
      clock.advance(1);
      return link.told.length;
    };
    expect(tellOf(remoteChats.slice(0, 1))).toEqual(1);
    expect(tellOf(remoteChats.slice(1, 2))).toEqual(2);
    expect(tellOf(remoteChats.slice(2, 5))).toEqual(2);
    mock.timers.tick(interval);
    clock.advance(interval);
    expect(link.told.at(-1)?.changes.length).toEqual(3);
    expect(tellOf(remoteChats.slice(5, 6))).toEqual(4);
  });
});

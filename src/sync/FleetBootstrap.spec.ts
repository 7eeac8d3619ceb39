import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { listen } from '../http/listen.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { ManualClock } from '../time/ManualClock.js';
import { FleetBootstrap } from './FleetBootstrap.js';
import { orderedRevisionOf } from './orderedRevision.js';
import type { FleetBootstrapOptions } from './FleetBootstrap.js';
import type { DaemonEntry, StoreFact, StorePage } from './FleetStore.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';
import { ListingExchange } from './ListingExchange.js';
import { createTestKnowledge } from './testKnowledge.js';

function daemonOf(name: string): DaemonEntry {
  const addresses = { callerAddress: name, peerAddress: name, newsAddress: name };
  return { name, dataCentre: 'here', ...addresses };
}

const RUNNER = {
  ...{ id: 'r', life: 'r', service: 's', host: '10.0.0.1', port: 80, dataCentre: 'here' },
  state: 'ready',
} as const;

const DAEMONS = ['a', 'b', 'c', 'd'].map(daemonOf);

const CONFIGURATION: RoutingConfiguration = {
  ...{ version: 7, routes: [], services: [] },
  limits: {
    ...{ maximumHeaderBytes: 1, maximumBodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  },
};

const FACTS: readonly StoreFact[] = [
  ...DAEMONS.map((daemon) => ({ kind: 'daemon', daemon, revision: 3 }) as const),
  { kind: 'configuration', configuration: CONFIGURATION, revision: 4 },
  { kind: 'secret', secret: 'of the fleet', revision: 2 },
  { kind: 'runner', runner: { ...RUNNER, id: 'only-here', life: 'only-here' }, revision: 9 },
];

const FIRST: StorePage = { revision: 10, facts: FACTS, next: 'servers/i-5' };

const LISTING: KnowledgeSnapshot = { revision: 8, runners: [RUNNER], daemons: DAEMONS };

function bootstrapOf(options: Partial<FleetBootstrapOptions> = {}) {
  const { knowledge } = createTestKnowledge();
  const asked: string[] = [];
  const learnt: string[] = [];
  const fetchListing = (address: string): Promise<KnowledgeSnapshot> => {
    asked.push(address);
    return Promise.resolve(LISTING);
  };
  const bootstrap = new FleetBootstrap({
    daemon: 'd',
    knowledge,
    clock: new ManualClock(),
    log: new MemoryLog(),
    coordinatorsOf: (daemons) => daemons.slice(0, 3),
    fetchListing,
    onLearnt: () => learnt.push('list'),
    ...options,
  });
  return { bootstrap, knowledge, asked, learnt };
}

describe(FleetBootstrap.name, () => {
  it('takes runners and daemons from the snapshot of another daemon, and the rest from the store', async () => {
    // Guards against mixing the two sources: a runner that left between the snapshot and the store's page would stay
    // listed for good.
    const { bootstrap, knowledge, asked, learnt } = bootstrapOf();
    expect(await bootstrap.learn(FIRST)).toEqual(true);
    expect(knowledge.runners.list().map(({ entry }) => entry.id)).toEqual(['r']);
    expect([knowledge.revision, knowledge.secret]).toEqual([8, 'of the fleet']);
    expect([asked.length, learnt.length]).toEqual([1, 1]);
  });

  it('asks a second daemon if the first does not answer or has an old list, but no third', async () => {
    const answers = [
      () => Promise.reject(new Error('dead')),
      () => Promise.resolve({ ...LISTING, storeSilentMilliseconds: 9_000 }),
    ];
    const { bootstrap, knowledge } = bootstrapOf({
      fetchListing: () => answers.shift()?.() ?? Promise.resolve(LISTING),
    });
    expect(await bootstrap.learn(FIRST)).toEqual(false);
    expect([answers.length, knowledge.revision]).toEqual([0, 0]);
  });

  it('takes no listing of before a restore that the first page is from', async () => {
    // Guards against a daemon that starts with the runners of before the restore, and with the rest of after it.
    const { bootstrap, knowledge, asked } = bootstrapOf();
    const revision = orderedRevisionOf({ epoch: 1, revision: 4 });
    expect(await bootstrap.learn({ ...FIRST, revision })).toEqual(false);
    expect([asked.length, knowledge.revision]).toEqual([2, 0]);
  });

  it('makes the coordinators, and every daemon of a small fleet, read the store', async () => {
    const coordinator = bootstrapOf({ daemon: 'a' });
    expect(await coordinator.bootstrap.learn(FIRST)).toEqual(false);
    const small = bootstrapOf({ coordinatorsOf: () => [] });
    expect(await small.bootstrap.learn(FIRST)).toEqual(false);
    expect([coordinator.asked, small.asked]).toEqual([[], []]);
  });

  it('reads the store if the daemons do not fit on the first page', async () => {
    // Guards against a daemon that learns the runners but never the configuration, which is on a later page.
    const { bootstrap, asked } = bootstrapOf();
    const facts = FACTS.filter(({ kind }) => kind === 'daemon');
    expect(await bootstrap.learn({ ...FIRST, facts })).toEqual(false);
    expect(asked).toEqual([]);
  });

  it('reads the store if the daemon has applied a revision before', async () => {
    const { bootstrap, knowledge, asked } = bootstrapOf();
    knowledge.applyFullRead({ revision: 4, facts: [] }, 0);
    expect(await bootstrap.learn(FIRST)).toEqual(false);
    expect(asked).toEqual([]);
  });
});

describe(ListingExchange.name, () => {
  let server: Server;
  let address: string;
  let exchange: ListingExchange;
  let allowed: boolean;
  const { knowledge } = createTestKnowledge();

  beforeEach(async () => {
    allowed = true;
    exchange = new ListingExchange({
      knowledge,
      clock: new ManualClock(),
      isAllowedHost: () => allowed,
    });
    server = createServer(exchange.handler);
    const { port } = await listen(server, { host: '127.0.0.1', port: 0 });
    address = `127.0.0.1:${port}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('holds a request until the first read, and then answers with its listing', async () => {
    // Guards against refusing daemons that start at the same time as the one that serves the listing.
    const fetched = exchange.fetchListing(address);
    await new Promise<void>((done) => {
      server.once('request', () => done());
    });
    const fact = { kind: 'runner', runner: RUNNER, revision: 5 } as const;
    knowledge.applyFullRead({ revision: 5, facts: [fact] }, 0);
    exchange.answerWaiting();
    const { revision, runners } = await fetched;
    expect([revision, runners]).toEqual([5, [RUNNER]]);
    expect((await exchange.fetchListing(address)).revision).toEqual(5);
  });

  it('refuses hosts that are not daemons of the fleet', async () => {
    allowed = false;
    const failed = await exchange.fetchListing(address).then(
      () => '',
      (error: Error) => error.message,
    );
    expect(failed).toEqual('status 403');
  });
});

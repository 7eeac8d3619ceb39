import { afterEach, beforeEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { expect } from 'earl';

import {
  ConfigurationSchema,
  RoutingPolicySchema,
  RunnerRecordSchema,
  ServiceSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { RoutingPolicy } from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ExecuteRequestSchema,
  MemberSchema,
  PeerService,
  ResumeRequestSchema,
} from '../generated/baobabdock/v1/peers_pb.js';
import type {
  ExecuteEvent,
  ExecuteRequest,
  HomeChange,
  Member,
} from '../generated/baobabdock/v1/peers_pb.js';
import { HomePort } from '../homes/HomePort.js';
import { FixedFleetView } from '../operators/FixedFleetView.js';
import { PeerLink } from '../peers/PeerLink.js';
import { ManualClock } from '../time/ManualClock.js';
import { GateHost } from './GateHost.js';
import { gatesFeature } from './gatesFeature.js';
import { gateHandlers } from './GateHostHandlers.js';
import { startedAnswer, chunkOf, TestUpstream, completedAnswer } from './GateTaskTestUpstream.js';
import { LocalGatePort } from './LocalGatePort.js';
import { RoutingGatePort } from './RoutingGatePort.js';

class RecordingHomes extends HomePort {
  readonly told: HomeChange[] = [];

  override async findWarmRunners(): Promise<[]> {
    return [];
  }

  override reportChanges(changes: readonly HomeChange[]): void {
    this.told.push(...changes);
  }
}

/** Connects the gate hosts of the test through the RPC library's in-memory transport. */
class MemoryPeers extends PeerLink {
  readonly clients = new Map<string, Client<typeof PeerService>>();

  override clientFor(daemonId: string): Client<typeof PeerService> {
    const client = this.clients.get(daemonId);
    if (!client) throw new Error(`no daemon ${daemonId}`);
    return client;
  }

  override close(): void {}
}

interface Daemon {
  readonly fleet: FixedFleetView;
  readonly host: GateHost;
  readonly port: RoutingGatePort;
  /** Upstream adapters by runner; each daemon has its own adapter of the same runner. */
  readonly upstreams: Map<string, TestUpstream>;
  readonly homes: RecordingHomes;
}

const RUNNER = 'runner-1';

/** Ends a test that would wait for ever because an event was lost. */
const TEST_TIMEOUT_MILLISECONDS = 30_000;

/** One daemon's view of the fleet, in which the test sets the holder of the gate. */
class SettableFleetView extends FixedFleetView {
  holder: string | undefined;

  override routingPolicy(): RoutingPolicy {
    return create(RoutingPolicySchema, { name: 'moves', bound: 1.25, moveCache: true });
  }

  override gateOf(): Member | undefined {
    return this.daemons.find(({ daemonId }) => daemonId === this.holder);
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await nextTurn();
}

function runnerOf(id: string, address = '127.0.0.1:9') {
  const record = create(RunnerRecordSchema, { runnerId: id, service: 'chats', address });
  return { id, record, state: 'live' as const };
}

function textOf({ event }: ExecuteEvent): string {
  if (event.case === 'chunk') return String(event.value.sequence);
  if (event.case === 'refused') return `refused ${event.value.reason}`;
  return event.case === 'failed' ? `failed ${event.value.code}` : (event.case ?? 'nothing');
}

async function readAll(events: AsyncIterable<ExecuteEvent>): Promise<string[]> {
  const all: string[] = [];
  for await (const event of events) all.push(textOf(event));
  return all;
}

function requestOf(attemptId: string): ExecuteRequest {
  return create(ExecuteRequestSchema, {
    attemptId,
    requestId: attemptId,
    clientAccount: 'tiles',
    service: 'chats',
    runnerId: RUNNER,
    deadlineMilliseconds: 20_000,
    idempotent: true,
    streaming: true,
    promptTokens: 100,
    maximumTokens: 20,
    bound: 1.25,
    lastChoice: true,
  });
}

const neverAborted = (): AbortSignal => new AbortController().signal;

describe(GateHost.name, { timeout: TEST_TIMEOUT_MILLISECONDS }, () => {
  const daemons = new Map<string, Daemon>();

  const setHolder = (holder: string, ...daemonNames: readonly string[]): void => {
    for (const name of daemonNames) {
      const { fleet, host } = daemons.get(name)!;
      (fleet as SettableFleetView).holder = holder;
      host.reconcile();
    }
  };
  const at = (name: string): Daemon => daemons.get(name)!;
  const gateAt = (name: string) => at(name).host.hosted().get(RUNNER)!.task;
  const upstreamAt = (name: string): TestUpstream => at(name).upstreams.get(RUNNER)!;

  beforeEach(() => {
    const peers = new MemoryPeers();
    const members = ['a', 'b', 'c'].map((daemonId) => create(MemberSchema, { daemonId }));
    const services = [create(ServiceSchema, { name: 'chats', kind: 'engine' })];
    for (const self of members) {
      const fleet = new SettableFleetView();
      fleet.daemons = [self, ...members.filter((member) => member !== self)];
      fleet.fleetRunners = [runnerOf(RUNNER)];
      fleet.inForce = () => create(ConfigurationSchema, { services });
      const upstreams = new Map<string, TestUpstream>();
      const homes = new RecordingHomes();
      const host = new GateHost({
        fleet,
        homes,
        settings: gatesFeature.settings.parse({ cacheBytesPerToken: 1_000 }),
        peers,
        clock: new ManualClock(),
        createUpstream: ({ id, record }) => {
          if (record.address === '') throw new Error('no address');
          const upstream = new TestUpstream();
          upstream.exported = new Uint8Array(5_000);
          upstreams.set(id, upstream);
          return upstream;
        },
      });
      const transport = createRouterTransport((router) => {
        router.service(PeerService, gateHandlers(host));
      });
      peers.clients.set(self.daemonId, createClient(PeerService, transport));
      const port = new RoutingGatePort({ fleet, peers, local: new LocalGatePort({ host }) });
      daemons.set(self.daemonId, { fleet, host, port, upstreams, homes });
    }
  });

  afterEach(() => {
    for (const { host } of daemons.values()) host.stop();
    daemons.clear();
  });

  it('runs an attempt at the gate of another daemon, and refuses it where the runner list is outdated', async () => {
    setHolder('b', 'a', 'b');
    setHolder('a', 'c');
    const reading = readAll(at('a').port.execute(requestOf('x'), neverAborted()));
    await waitUntil(() => upstreamAt('b').runs.length === 1);
    upstreamAt('b').runs[0]!.answer(startedAnswer(), chunkOf(1), completedAnswer(1));
    expect(await reading).toEqual(['started', '1', 'completed']);
    const refused = await readAll(at('c').port.execute(requestOf('y'), neverAborted()));
    expect(refused).toEqual(['refused gate_not_here']);
  });

  it('cancels an attempt at another daemon by its id, but keeps it when only the connection is lost', async () => {
    // Guards against a caller that comes back through another daemon and finds its stream cancelled: the
    // reading daemon crashes while the stream runs, and the gate takes the lost connection for a cancellation.
    setHolder('b', 'a', 'b', 'c');
    const aborted = new AbortController();
    const first = readAll(at('a').port.execute(requestOf('x'), aborted.signal));
    await waitUntil(() => upstreamAt('b').runs.length === 1);
    aborted.abort();
    expect(await first).toEqual(['failed cancelled']);
    const lost = at('a').port.execute(requestOf('y'), neverAborted())[Symbol.asyncIterator]();
    const start = lost.next();
    await waitUntil(() => upstreamAt('b').runs.length === 2);
    const call = upstreamAt('b').runs[1]!;
    call.answer(startedAnswer(), chunkOf(1));
    await start;
    await lost.return?.();
    const request = create(ResumeRequestSchema, {
      attemptId: 'y',
      runnerId: RUNNER,
      clientAccount: 'tiles',
      deadlineMilliseconds: 20_000,
    });
    const rest = readAll(at('c').port.resume(request, neverAborted()));
    await waitUntil(() => upstreamAt('b').resumes.length === 1);
    upstreamAt('b').resumes[0]!.answer(startedAnswer(), chunkOf(1), completedAnswer(1));
    expect(await rest).toEqual(['started', '1', 'completed']);
    expect(call.signal.aborted).toEqual(false);
  });

  for (const lists of ['before the handover', 'after the handover'] as const) {
    it(`tells the next holder what is on the runner, its lists changing ${lists}`, async () => {
      // Guards against a runner that is loaded to twice its bound: a gate moves to another daemon while
      // requests run, and the new holder counts from zero because it ignores the old holder's attempts.
      setHolder('a', 'a', 'b');
      const reading = readAll(at('a').port.execute(requestOf('x'), neverAborted()));
      if (lists === 'before the handover') setHolder('b', 'b', 'a');
      else {
        setHolder('b', 'a');
        await nextTurn();
        setHolder('b', 'b');
      }
      // Without load reports, the handover is the only source of the foreign work.
      upstreamAt('b').answersReports = false;
      await waitUntil(() => gateAt('b').snapshot().foreignWork > 0);
      expect(gateAt('b').snapshot().foreignWork).toEqual(120);
      expect(gateAt('b').snapshot().state).toEqual('open');
      const refused = await readAll(at('a').host.execute(requestOf('y'), neverAborted()));
      expect(refused).toEqual(['refused gate_not_here']);
      upstreamAt('a').runs[0]!.answer(startedAnswer(), completedAnswer(0));
      expect(await reading).toEqual(['started', 'completed']);
      await waitUntil(() => gateAt('b').snapshot().foreignWork === 0);
      await waitUntil(() => upstreamAt('a').closed);
    });
  }

  it('drains without cutting what runs, and starts nothing more', async () => {
    setHolder('a', 'a');
    const reading = readAll(at('a').port.execute(requestOf('x'), neverAborted()));
    let drained = false;
    (at('a').fleet as SettableFleetView).holder = 'b';
    setHolder('b', 'b');
    const draining = at('a')
      .host.drain()
      .then(() => {
        drained = true;
      });
    const refused = await readAll(at('a').host.execute(requestOf('y'), neverAborted()));
    expect(refused).toEqual(['refused draining']);
    for (let turn = 0; turn < 50; turn += 1) await nextTurn();
    expect(drained).toEqual(false);
    upstreamAt('a').runs[0]!.answer(startedAnswer(), chunkOf(1), completedAnswer(1));
    expect(await reading).toEqual(['started', '1', 'completed']);
    await draining;
    expect(at('a').host.inProgress()).toEqual(0);
  });

  it('moves the cached chats of a runner that leaves by plan, once, and tells their homes', async () => {
    const { fleet, host, homes, upstreams } = at('a');
    fleet.fleetRunners = [runnerOf(RUNNER), runnerOf('runner-2')];
    setHolder('a', 'a');
    gateAt('a').watch.recordChatUse('long', 5_000);
    gateAt('a').watch.recordChatUse('short', 10);
    fleet.fleetRunners = [{ ...runnerOf(RUNNER), state: 'leaving' }, runnerOf('runner-2')];
    host.reconcile();
    host.reconcile();
    const places = () => homes.told.map(({ chat, runnerId }) => `${chat} ${runnerId}`);
    await waitUntil(() => places().includes('long runner-2'));
    expect(upstreams.get('runner-2')!.imported).toEqual([{ chat: 'long', bytes: 5_000 }]);
    expect(places()).toEqual([`long ${RUNNER}`, `short ${RUNNER}`, 'long runner-2']);
  });

  it('opens the other gates when one runner has an invalid address', () => {
    at('a').fleet.fleetRunners = [runnerOf('runner-0', ''), runnerOf(RUNNER)];
    setHolder('a', 'a');
    expect([...at('a').host.hosted().keys()]).toEqual([RUNNER]);
    expect(
      at('a')
        .host.poolDigests()
        .map(({ service, runners }) => [service, runners]),
    ).toEqual([['chats', 1]]);
  });
});

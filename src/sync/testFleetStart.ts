/**
 * Simulates in virtual time that all daemons of a fleet start at once. The followers and bootstraps are real; the store
 * has a limited bandwidth and call rate, and the daemons' links have a limited bandwidth.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { coordinatorsOf } from '../coordination/daemonRoles.js';
import { SilentLog } from '../logging/Log.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { ManualClock } from '../time/ManualClock.js';
import { FleetBootstrap } from './FleetBootstrap.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { DaemonEntry, StoreFact, StorePage } from './FleetStore.js';
import { StoreFollower } from './StoreFollower.js';
import { createTestKnowledge } from './testKnowledge.js';
import { TestStore } from './testStore.js';

/** Options of {@link simulateFleetStart}. */
export interface FleetStartOptions {
  daemons: number;
  runners: number;
  /** Whether daemons learn from each other; otherwise each one reads the whole store. */
  learnsFromFleet: boolean;
}

/** Limits of the store, from its data sheets. */
const STORE_BYTES_PER_MILLISECOND = 125_000;
const READS_PER_SECOND = 2_000;
const ANSWER_MILLISECONDS = 4;

/** Bandwidth of an instance in the sweep of the second site. */
const LINK_BYTES_PER_MILLISECOND = 125_000;

const ITEMS_A_PAGE = 500;

/** Size of an entry in a response of the store, and in a compressed listing. */
const ITEM_BYTES = 400;
const COMPRESSED_BYTES = 35;

/** Time to decode an entry on two thirds of a processor core, in ms. */
const DECODE_MILLISECONDS = 0.04;

const END_MILLISECONDS = 40_000;

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Event queue of the simulation; runs events in the order of their virtual time. */
class Timeline {
  readonly clock = new ManualClock();

  private events: Event[] = [];

  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  at(at: number, run: () => void): void {
    this.events.push({ at: Math.max(at, this.now), run });
  }

  after(milliseconds: number): Promise<void> {
    return new Promise((done) => {
      this.at(this.now + milliseconds, done);
    });
  }

  async play(until: () => boolean): Promise<void> {
    while (this.events.length > 0 && !until()) {
      const next = this.events.reduce((first, event) => (event.at < first.at ? event : first));
      if (next.at > END_MILLISECONDS) return;
      this.clock.advance(next.at - this.now);
      const due = this.events.filter(({ at }) => at <= this.now);
      this.events = this.events.filter(({ at }) => at > this.now);
      for (const { run } of due) run();
      await nextTurn();
    }
  }
}

/** A network link that sends messages one after the other. */
class Link {
  private freeAt = 0;

  constructor(
    private readonly timeline: Timeline,
    private readonly bytesPerMillisecond: number,
  ) {}

  send(bytes: number): Promise<void> {
    this.freeAt = Math.max(this.freeAt, this.timeline.now) + bytes / this.bytesPerMillisecond;
    return this.timeline.after(this.freeAt - this.timeline.now);
  }
}

/** The simulated store that all daemons read; refuses calls above its rate. */
class SharedStore {
  readonly facts: readonly StoreFact[];

  private readonly link: Link;

  private second = -1;

  private calls = 0;

  constructor(
    private readonly timeline: Timeline,
    daemons: readonly DaemonEntry[],
    runners: number,
  ) {
    this.link = new Link(timeline, STORE_BYTES_PER_MILLISECOND);
    const place = { service: 'chat', host: '10.0.0.1', port: 80, dataCentre: 'here' };
    const runnerOf = (id: string) => ({ id, life: id, state: 'ready', ...place }) as const;
    const limits = {} as RoutingConfiguration['limits'];
    const configuration = { version: 1, routes: [], services: [], limits };
    this.facts = [
      { kind: 'configuration', configuration, revision: 1 },
      ...daemons.map((daemon) => ({ kind: 'daemon', daemon, revision: 1 }) as const),
      ...Array.from(
        { length: runners },
        (_, index) =>
          ({ kind: 'runner', runner: runnerOf(`runner-${index}`), revision: 1 }) as const,
      ),
    ];
  }

  async page(from: string | undefined): Promise<StorePage> {
    const second = Math.floor(this.timeline.now / 1_000);
    this.calls = second === this.second ? this.calls + 1 : 1;
    this.second = second;
    await this.timeline.after(ANSWER_MILLISECONDS);
    if (this.calls > READS_PER_SECOND) throw new Error('the store answered with 429');
    const start = Number(from ?? 0);
    const facts = this.facts.slice(start, start + ITEMS_A_PAGE);
    await this.link.send(facts.length * ITEM_BYTES);
    const next =
      start + ITEMS_A_PAGE < this.facts.length ? String(start + ITEMS_A_PAGE) : undefined;
    return { revision: 1, facts, next };
  }
}

class PagedStore extends TestStore {
  constructor(
    private readonly shared: SharedStore,
    private readonly timeline: Timeline,
  ) {
    super();
  }

  override async readPage(from?: string): Promise<StorePage> {
    const page = await this.shared.page(from);
    await this.timeline.after(page.facts.length * DECODE_MILLISECONDS);
    return page;
  }
}

function daemonOf(index: number): DaemonEntry {
  const name = `daemon-${index}`;
  return { name, dataCentre: 'here', callerAddress: name, peerAddress: name, newsAddress: name };
}

/** A starting daemon with its knowledge and its network link. */
class StartingDaemon {
  readonly knowledge: FleetKnowledge = createTestKnowledge().knowledge;

  private readonly link: Link;

  constructor(private readonly timeline: Timeline) {
    this.link = new Link(timeline, LINK_BYTES_PER_MILLISECOND);
  }

  get knowsAll(): boolean {
    return this.knowledge.revision > 0;
  }

  /** Serves its listing as soon as it has one. */
  async serveListing(): Promise<ReturnType<FleetKnowledge['snapshot']>> {
    while (!this.knowsAll) await this.timeline.after(1);
    const { runners } = this.knowledge;
    await this.link.send(runners.size * COMPRESSED_BYTES);
    return this.knowledge.snapshot(Number.POSITIVE_INFINITY, this.timeline.now);
  }
}

/**
 * Runs the simulation until all daemons know everything.
 *
 * @param options - the fleet.
 * @returns For each daemon the time at which it knew everything, in ms after the start, in ascending order.
 */
export async function simulateFleetStart(options: FleetStartOptions): Promise<number[]> {
  const timeline = new Timeline();
  const { clock } = timeline;
  const entries = Array.from({ length: options.daemons }, (_, index) => daemonOf(index));
  const shared = new SharedStore(timeline, entries, options.runners);
  const daemons = new Map(entries.map(({ name }) => [name, new StartingDaemon(timeline)]));
  const log = new SilentLog();
  const followers = [...daemons].map(([daemon, { knowledge }]) => {
    const bootstrap = new FleetBootstrap({
      ...{ daemon, knowledge, clock, log },
      coordinatorsOf: (listed) => coordinatorsOf(listed),
      fetchListing: (address) =>
        daemons.get(address)?.serveListing() ?? Promise.reject(new Error('no such daemon')),
      onLearnt: () => undefined,
    });
    return new StoreFollower({
      ...{ store: new PagedStore(shared, timeline), knowledge, clock, log },
      gatherMilliseconds: 1_200,
      sleep: (milliseconds) => timeline.after(milliseconds),
      learnFromFleet: (first) =>
        options.learnsFromFleet ? bootstrap.learn(first) : Promise.resolve(false),
    });
  });
  const knownAt = new Map<string, number>();
  for (const follower of followers) {
    timeline.at(0, () => {
      void follower.run();
    });
  }
  await timeline.play(() => {
    for (const [name, daemon] of daemons) {
      if (daemon.knowsAll && !knownAt.has(name)) knownAt.set(name, timeline.now);
    }
    return knownAt.size === daemons.size;
  });
  for (const follower of followers) follower.stop();
  return [...knownAt.values()].sort((one, other) => one - other);
}

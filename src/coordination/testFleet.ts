/**
 * A large fleet in virtual time, for tests: real beliefs and relays, with a store, a network and cuts that are played.
 */
import { seededRandom } from '../random/seededRandom.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { DaemonEntry, StoreFact } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { coordinatorsOf, readersOf } from './coordinatorsOf.js';
import { TestDaemon } from './testFollower.js';
import type { TestStoreView } from './testFollower.js';

/** Options of a {@link TestFleet}. */
export interface TestFleetOptions {
  daemons: number;
  runners: number;
  seed: number;
  /** In which changes have to be in force, in ms. */
  boundMilliseconds: number;
}

/** The service of all runners. */
export const TEST_SERVICE = 'chat';

const STEP_MILLISECONDS = 50;

/** Each runner renews its entry this often, in ms: each renewal is a revision of the store. */
const HEARTBEAT_MILLISECONDS = 1_200;

/** Share of datagrams that are lost on any day. */
const LOSS_SHARE = 0.02;

/** Runners lie in these in turn. */
export const TEST_DATA_CENTRES = ['north', 'east', 'south', 'west'] as const;

function runnerOf(index: number, state: RunnerState = 'ready'): RunnerEntry {
  const id = `runner-${index}`;
  const dataCentre = TEST_DATA_CENTRES[index % TEST_DATA_CENTRES.length] as string;
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre };
  return { id, life: id, service: TEST_SERVICE, state, ...place };
}

/** Plays the store and the network. */
export class TestFleet {
  readonly daemons: TestDaemon[];

  private readonly readers: ReadonlySet<string>;

  private readonly evacuated = new Set<string>();

  private historyStart = 0;

  private readonly random: () => number;

  private readonly clock = new ManualClock();

  private readonly options: TestFleetOptions;

  private readonly changes: (StoreFact & { readonly revision: number })[] = [];

  private readonly present = new Map<string, RunnerEntry>();

  private revision = 1;

  private renewals = 0;

  private awayUntil = Number.NEGATIVE_INFINITY;

  private later: { readonly at: number; readonly call: () => void }[] = [];

  /**
   * @param options - its size, and the seed of all chance.
   */
  constructor(options: TestFleetOptions) {
    this.options = options;
    this.random = seededRandom(options.seed);
    for (let index = 0; index < options.runners; index += 1) {
      this.write({ kind: 'runner', runner: runnerOf(index) });
    }
    const entries: DaemonEntry[] = Array.from({ length: options.daemons }, (_, index) => {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
    });
    const readers = new Set(readersOf(coordinatorsOf(entries)).map(({ name }) => name));
    this.readers = readers;
    this.daemons = entries.map(({ name }) => this.createDaemon(name));
  }

  /** @returns Monotonic milliseconds. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * @param index - of a runner that says that it leaves.
   */
  drain(index: number): void {
    this.write({ kind: 'runner', runner: runnerOf(index, 'draining') });
  }

  /**
   * @param index - of a runner whose entry goes.
   */
  remove(index: number): void {
    this.write({ kind: 'runner_gone', id: `runner-${index}` });
  }

  /**
   * @param index - of a runner whose entry is back.
   */
  restore(index: number): void {
    this.write({ kind: 'runner', runner: runnerOf(index) });
  }

  /**
   * @param dataCentre - that the operators evacuate.
   */
  evacuate(dataCentre: string): void {
    this.evacuated.add(dataCentre);
    this.write({ kind: 'evacuation', dataCentre });
  }

  /**
   * @param dataCentre - whose evacuation the operators take back.
   */
  takeBack(dataCentre: string): void {
    this.evacuated.delete(dataCentre);
    this.write({ kind: 'evacuation_over', dataCentre });
  }

  /** Daemons that ask for changes of before now have to read everything. */
  forgetHistory(): void {
    this.historyStart = this.revision;
  }

  /**
   * Starts a daemon anew, with nothing known.
   *
   * @param index - of the daemon.
   */
  restart(index: number): void {
    this.daemons[index] = this.createDaemon(this.daemons[index]?.name ?? '');
  }

  /** @param until - when the store answers again; monotonic ms. */
  loseStore(until: number): void {
    this.awayUntil = until;
  }

  /**
   * Cuts daemons off from the store and from each other, from now on.
   *
   * @param share - of all daemons.
   * @param until - monotonic ms.
   */
  cut(share: number, until: number): void {
    for (const daemon of this.daemons) if (this.random() < share) daemon.cutUntil = until;
  }

  /** Plays one step. */
  step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    this.renew();
    this.deliver();
    const calls = this.later.filter(({ at }) => at <= this.now);
    this.later = this.later.filter(({ at }) => at > this.now);
    for (const { call } of calls) call();
    for (const daemon of this.daemons) daemon.follow(this.view());
  }

  private createDaemon(name: string): TestDaemon {
    const { clock, random } = this;
    const { boundMilliseconds } = this.options;
    const isReader = this.readers.has(name);
    const later = (call: () => void, milliseconds: number) =>
      this.later.push({ at: this.now + milliseconds, call });
    const hasReaders = this.readers.size > 0;
    const times = { boundMilliseconds, clock, random, later };
    return new TestDaemon({ name, isReader, hasReaders, ...times });
  }

  /** Runners renew their entries; one that cannot reach the store does not do it later. */
  private renew(): void {
    const renewals = Math.floor((this.now / HEARTBEAT_MILLISECONDS) * this.options.runners);
    if (this.awayUntil <= this.now) this.revision += renewals - this.renewals;
    this.renewals = renewals;
  }

  private write(fact: StoreFact): void {
    this.revision += 1;
    this.changes.push({ ...fact, revision: this.revision });
    if (fact.kind === 'runner') this.present.set(fact.runner.id, fact.runner);
    if (fact.kind === 'runner_gone') this.present.delete(fact.id);
  }

  private deliver(): void {
    for (const sender of this.daemons) {
      const messages = sender.socket.sent.splice(0);
      if (messages.length === 0 || sender.cutUntil > this.now) continue;
      for (const daemon of this.daemons) {
        if (daemon === sender || daemon.cutUntil > this.now) continue;
        const arrived = messages.filter(() => this.random() >= LOSS_SHARE);
        for (const message of arrived) daemon.socket.handler(message);
      }
    }
  }

  private view(): TestStoreView {
    return {
      isAway: this.awayUntil > this.now,
      revision: this.revision,
      present: () => [
        ...[...this.present.values()].map((runner) => ({ kind: 'runner', runner }) as const),
        ...[...this.evacuated].map((dataCentre) => ({ kind: 'evacuation', dataCentre }) as const),
      ],
      changesAfter: (after) => {
        if (after < this.historyStart) return undefined;
        return this.changes.filter(({ revision }) => revision > after);
      },
    };
  }
}

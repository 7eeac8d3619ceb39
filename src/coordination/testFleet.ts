/**
 * A large fleet in virtual time, for tests: real fleet state and relays with a simulated store and a simulated network
 * that can be partitioned.
 */
import { seededRandom } from '../random/seededRandom.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { DaemonEntry, StoreFact } from '../sync/FleetStore.js';
import { epochOf, orderedRevisionOf } from '../sync/orderedRevision.js';
import { ManualClock } from '../time/ManualClock.js';
import { coordinatorsOf, storeReadersOf } from './daemonRoles.js';
import { TestDaemon } from './testDaemon.js';
import type { TestStoreView } from './testDaemon.js';

/** Options of a {@link TestFleet}. */
export interface TestFleetOptions {
  daemons: number;
  runners: number;
  seed: number;
  /** Time within which changes have to be in force, in ms. */
  boundMilliseconds: number;
}

/** Name of the service of all runners. */
export const TEST_SERVICE = 'chat';

const STEP_MILLISECONDS = 50;

/** Interval at which each runner renews its entry, in ms; each renewal is a new revision of the store. */
export const HEARTBEAT_MILLISECONDS = 1_200;

/** Share of datagrams that are lost under normal conditions. */
const LOSS_SHARE = 0.02;

/** Data centres, to which runners are assigned in turn. */
export const TEST_DATA_CENTRES = ['north', 'east', 'south', 'west'] as const;

function runnerOf(index: number, state: RunnerState = 'ready'): RunnerEntry {
  const id = `runner-${index}`;
  const dataCentre = TEST_DATA_CENTRES[index % TEST_DATA_CENTRES.length] as string;
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre };
  return { id, life: id, service: TEST_SERVICE, state, ...place };
}

/** Time after which the platform removes the entry of a runner that sends no heartbeat, in ms. */
export const SILENCE_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS;

/** Time after which operators write again what a restored store lacks, in ms. */
const OPERATORS_MILLISECONDS = 900;

type Change = StoreFact & { readonly revision: number };

/** What the simulated store held at one moment. */
export interface TestStoreCopy {
  readonly revision: number;
  readonly changes: readonly Change[];
  readonly entries: ReadonlyMap<string, RunnerEntry>;
  readonly evacuated: ReadonlySet<string>;
}

/** Simulates the store and the network between daemons. */
export class TestFleet {
  readonly daemons: TestDaemon[];

  private readonly readers: ReadonlySet<string>;

  private evacuated = new Set<string>();

  /** Number of times that the store has been restored. */
  private epoch = 0;

  /** Oldest revision after which the store still has changes. */
  private historyStart = 0;

  private readonly random: () => number;

  private readonly clock = new ManualClock();

  private readonly options: TestFleetOptions;

  private changes: Change[] = [];

  private entries = new Map<string, RunnerEntry>();

  /** What each runner wrote last, whether the store has lost it or not. */
  private readonly written = new Map<string, RunnerEntry>();

  private revision = 1;

  private renewals = 0;

  private unavailableUntil = Number.NEGATIVE_INFINITY;

  private scheduled: { readonly at: number; readonly call: () => void }[] = [];

  /**
   * @param options - the fleet's size and its random seed.
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
    const readers = new Set(storeReadersOf(coordinatorsOf(entries)).map(({ name }) => name));
    this.readers = readers;
    this.daemons = entries.map(({ name }) => this.createDaemon(name));
  }

  /** @returns Virtual time, monotonic ms. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * Lists a runner as draining.
   *
   * @param index - of the runner.
   */
  drain(index: number): void {
    this.write({ kind: 'runner', runner: runnerOf(index, 'draining') });
  }

  /**
   * Removes a runner's entry.
   *
   * @param index - of the runner.
   */
  remove(index: number): void {
    this.write({ kind: 'runner_gone', id: `runner-${index}` });
  }

  /**
   * Restores a runner's entry.
   *
   * @param index - of the runner.
   */
  restore(index: number): void {
    this.write({ kind: 'runner', runner: runnerOf(index) });
  }

  /**
   * Orders the evacuation of a data centre.
   *
   * @param dataCentre - name of the data centre.
   */
  evacuate(dataCentre: string): void {
    this.evacuated.add(dataCentre);
    this.write({ kind: 'evacuation', dataCentre });
  }

  /**
   * Lifts the evacuation of a data centre.
   *
   * @param dataCentre - name of the data centre.
   */
  liftEvacuation(dataCentre: string): void {
    this.evacuated.delete(dataCentre);
    this.write({ kind: 'evacuation_over', dataCentre });
  }

  /** @returns A copy of what the store holds. */
  copyStore(): TestStoreCopy {
    const { revision, changes, entries, evacuated } = this;
    const copies = { entries: new Map(entries), evacuated: new Set(evacuated) };
    return { revision, changes: [...changes], ...copies };
  }

  /**
   * Restores the store from a copy. Runners and operators write again what it lacks, and the platform removes the
   * entries of runners that have ended since.
   *
   * @param copy - what the store holds from now on.
   */
  restoreStore({ revision, changes, entries, evacuated }: TestStoreCopy): void {
    const [lost, lostEvacuated] = [new Map(this.written), this.evacuated];
    this.epoch += 1;
    this.revision = revision;
    this.changes = [...changes];
    this.entries = new Map(entries);
    this.evacuated = new Set(evacuated);
    for (const runner of lost.values()) {
      if (entries.get(runner.id)?.state === runner.state) continue;
      this.writeLater({ kind: 'runner', runner }, this.random() * HEARTBEAT_MILLISECONDS);
    }
    for (const id of entries.keys()) {
      if (!lost.has(id)) this.writeLater({ kind: 'runner_gone', id }, SILENCE_MILLISECONDS);
    }
    for (const dataCentre of lostEvacuated) {
      if (evacuated.has(dataCentre)) continue;
      const at = this.now + OPERATORS_MILLISECONDS;
      this.scheduled.push({ at, call: () => this.evacuate(dataCentre) });
    }
  }

  /** Compacts the store's history: daemons that ask for earlier changes have to read everything. */
  compactHistory(): void {
    this.historyStart = this.revision;
  }

  /**
   * Replaces a daemon by a new incarnation without any state.
   *
   * @param index - of the daemon.
   */
  restart(index: number): void {
    this.daemons[index] = this.createDaemon(this.daemons[index]?.name ?? '');
  }

  /**
   * Makes the store unavailable.
   *
   * @param until - when it answers again, monotonic ms.
   */
  makeStoreUnavailable(until: number): void {
    this.unavailableUntil = until;
  }

  /**
   * Cuts daemons off from the store and from each other, starting now.
   *
   * @param share - probability with which each daemon is cut off.
   * @param until - when they are connected again, monotonic ms.
   */
  disconnect(share: number, until: number): void {
    for (const daemon of this.daemons) if (this.random() < share) daemon.disconnectedUntil = until;
  }

  /** Advances the simulation by one step. */
  step(): void {
    this.clock.advance(STEP_MILLISECONDS);
    this.renew();
    this.deliver();
    const calls = this.scheduled.filter(({ at }) => at <= this.now);
    this.scheduled = this.scheduled.filter(({ at }) => at > this.now);
    for (const { call } of calls) call();
    for (const daemon of this.daemons) daemon.readIfDue(this.view());
  }

  private createDaemon(name: string): TestDaemon {
    const { clock, random } = this;
    const { boundMilliseconds } = this.options;
    const isReader = this.readers.has(name);
    const later = (call: () => void, milliseconds: number) =>
      this.scheduled.push({ at: this.now + milliseconds, call });
    const hasReaders = this.readers.size > 0;
    const times = { boundMilliseconds, clock, random, later };
    return new TestDaemon({ name, isReader, hasReaders, ...times });
  }

  /** Lets runners renew their entries; renewals that are due while the store is unavailable are not made up for. */
  private renew(): void {
    const renewals = Math.floor((this.now / HEARTBEAT_MILLISECONDS) * this.options.runners);
    if (this.unavailableUntil <= this.now) this.revision += renewals - this.renewals;
    this.renewals = renewals;
  }

  /** A later restore makes the write void, since it writes again what is lost then. */
  private writeLater(fact: StoreFact, milliseconds: number): void {
    const { epoch } = this;
    const call = () => {
      if (this.epoch === epoch) this.write(fact);
    };
    this.scheduled.push({ at: this.now + milliseconds, call });
  }

  private write(fact: StoreFact): void {
    this.revision += 1;
    this.changes.push({ ...fact, revision: this.revision });
    for (const entries of [this.entries, this.written]) {
      if (fact.kind === 'runner') entries.set(fact.runner.id, fact.runner);
      if (fact.kind === 'runner_gone') entries.delete(fact.id);
    }
  }

  private deliver(): void {
    for (const sender of this.daemons) {
      const messages = sender.socket.sent.splice(0);
      if (messages.length === 0 || sender.disconnectedUntil > this.now) continue;
      for (const daemon of this.daemons) {
        if (daemon === sender || daemon.disconnectedUntil > this.now) continue;
        const arrived = messages.filter(() => this.random() >= LOSS_SHARE);
        for (const message of arrived) daemon.socket.handler(message);
      }
    }
  }

  private view(): TestStoreView {
    const { epoch } = this;
    const ordered = (revision: number) => orderedRevisionOf({ epoch, revision });
    return {
      isUnavailable: this.unavailableUntil > this.now,
      revision: ordered(this.revision),
      currentFacts: () => [
        ...[...this.entries.values()].map((runner) => ({ kind: 'runner', runner }) as const),
        ...[...this.evacuated].map((dataCentre) => ({ kind: 'evacuation', dataCentre }) as const),
      ],
      changesAfter: (after) => {
        if (epochOf(after) < epoch || after < ordered(this.historyStart)) return undefined;
        return this.changes
          .map((change) => ({ ...change, revision: ordered(change.revision) }))
          .filter(({ revision }) => revision > after);
      },
    };
  }
}

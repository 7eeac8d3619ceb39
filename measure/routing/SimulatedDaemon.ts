/**
 * One daemon of a run: its own view of the fleet, its gates and its share of the chats' homes. The
 * decisions in it are the product's own.
 */
import { GateDecisions } from '../../src/gates/GateDecisions.js';
import type { GateAction, GateMessage, HeldWork } from '../../src/gates/gateTypes.js';
import { ChatHomeDecisions } from '../../src/homes/ChatHomeDecisions.js';
import type { HomeMessage, WarmRunnerEntry } from '../../src/homes/homeTypes.js';
import type { PlacementCandidate } from '../../src/routing/placementTypes.js';
import { rendezvousPick } from '../../src/routing/rendezvous.js';
import { weightedOrder } from '../../src/routing/weightedOrder.js';
import type { Stopwatch } from './Stopwatch.js';

/** What this daemon knows about a daemon. */
export interface DaemonRecord {
  readonly id: string;
  readonly dataCentre: string;
  /** Daemons are equal; rendezvous order takes it as a weight. */
  readonly accelerators: 1;
}

/** What this daemon knows about a runner. */
export interface RunnerRecord {
  readonly id: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
}

/** Options of a {@link SimulatedDaemon}. */
export interface SimulatedDaemonOptions {
  readonly record: DaemonRecord;
  readonly daemons: readonly DaemonRecord[];
  readonly runners: readonly RunnerRecord[];
  readonly stopwatch: Stopwatch;
}

/** Requests that a fake engine takes at once. */
const MAXIMUM_CONCURRENT = 160;

/** A daemon in virtual time. */
export class SimulatedDaemon {
  readonly record: DaemonRecord;

  alive = true;

  /** End of its current pause. */
  pausedUntil = 0;

  readonly gates = new Map<string, GateDecisions>();

  /** Requests of this entry in progress, by runner: what a daemon that bounds by itself knows. */
  readonly ownInProgress = new Map<string, number>();

  private readonly home = new ChatHomeDecisions();

  private readonly daemons = new Map<string, DaemonRecord>();

  private readonly runners = new Map<string, RunnerRecord>();

  private readonly gateOwners = new Map<string, DaemonRecord | undefined>();

  private readonly stopwatch: Stopwatch;

  private daemonList: readonly DaemonRecord[] = [];

  private candidateList: readonly PlacementCandidate[] | undefined;

  /**
   * @param options - itself and its first picture.
   */
  constructor({ record, daemons, runners, stopwatch }: SimulatedDaemonOptions) {
    this.record = record;
    this.stopwatch = stopwatch;
    for (const daemon of daemons) this.daemons.set(daemon.id, daemon);
    for (const runner of runners) this.runners.set(runner.id, runner);
    this.daemonsChanged();
  }

  /** @returns Runners as this daemon believes them. */
  candidates(): readonly PlacementCandidate[] {
    this.candidateList ??= [...this.runners.values()].map(({ id, dataCentre, state }) => ({
      id,
      dataCentre,
      state,
      region: 'region',
      accelerators: 8,
    }));
    return this.candidateList;
  }

  /**
   * @param record - a daemon that joined.
   */
  learnDaemon(record: DaemonRecord): void {
    this.daemons.set(record.id, record);
    this.daemonsChanged();
  }

  /**
   * @param id - a daemon that is gone.
   */
  forgetDaemon(id: string): void {
    if (this.daemons.delete(id)) this.daemonsChanged();
  }

  /**
   * @param record - a runner that joined or changed.
   */
  learnRunner(record: RunnerRecord): void {
    this.runners.set(record.id, record);
    this.candidateList = undefined;
  }

  /**
   * @param id - a runner that is gone.
   */
  forgetRunner(id: string): void {
    this.runners.delete(id);
    this.candidateList = undefined;
  }

  /** @returns Names of runners whose gates this daemon believes to hold. */
  ownRunners(): string[] {
    const own = [...this.runners.values()].filter(({ id }) => this.gateOf(id) === this.record);
    return own.map(({ id }) => id);
  }

  /**
   * @param runnerId - a runner.
   * @returns The daemon that holds its gate, as this one believes.
   */
  gateOf(runnerId: string): DaemonRecord | undefined {
    if (!this.gateOwners.has(runnerId)) {
      const dataCentre = this.runners.get(runnerId)?.dataCentre;
      const near = this.daemonList.filter((daemon) => daemon.dataCentre === dataCentre);
      const owner = rendezvousPick(runnerId, near.length > 0 ? near : this.daemonList);
      this.gateOwners.set(runnerId, owner);
    }
    return this.gateOwners.get(runnerId);
  }

  /**
   * @param chat - a chat.
   * @param count - how many.
   * @returns Its homes, as this daemon believes, the preferred first.
   */
  homesOf(chat: string, count: number): readonly DaemonRecord[] {
    return weightedOrder(chat, this.daemonList, count);
  }

  /**
   * @param now - virtual ms.
   * @param runnerId - whose gate.
   * @param message - to it.
   * @returns What it decided; nothing when there is no such gate.
   */
  atGate(now: number, runnerId: string, message: GateMessage): readonly GateAction[] {
    const gate = this.gates.get(runnerId);
    return gate ? this.stopwatch.time(() => gate.decide(now, message)) : [];
  }

  /**
   * @param now - virtual ms.
   * @param runnerId - whose gate.
   * @param handedOver - what the old holder said, if it did.
   */
  openGate(now: number, runnerId: string, handedOver?: readonly HeldWork[]): void {
    if (!this.gates.has(runnerId)) {
      this.gates.set(
        runnerId,
        new GateDecisions({ maximumConcurrent: MAXIMUM_CONCURRENT, maximumQueued: 64 }),
      );
    }
    this.atGate(now, runnerId, handedOver ? { kind: 'open', handedOver } : { kind: 'open' });
  }

  /**
   * @param now - virtual ms.
   * @param message - news of a chat or runner.
   */
  tellHome(now: number, message: HomeMessage): void {
    this.stopwatch.time(() => this.home.decide(now, message));
  }

  /**
   * @param now - virtual ms.
   * @param chat - a chat.
   * @returns Where it is warm.
   */
  askHome(now: number, chat: string): readonly WarmRunnerEntry[] {
    const question = { kind: 'ask', question: '', service: 'chat', chat } as const;
    const [answer] = this.stopwatch.time(() => this.home.decide(now, question));
    return answer?.warm ?? [];
  }

  private daemonsChanged(): void {
    this.daemonList = [...this.daemons.values()];
    this.gateOwners.clear();
  }
}

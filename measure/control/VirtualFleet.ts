/**
 * A fleet in virtual time, laid out like the one that is planned: data centres in regions, pools on gates.
 */
import type {
  MembershipAction,
  MemberRecord,
  PoolNews,
} from '../../src/membership/membershipTypes.js';
import { VirtualTime } from '../routing/VirtualTime.js';
import { VirtualDaemon } from './VirtualDaemon.js';
import { VirtualStore } from './VirtualStore.js';
import { Wire } from './Wire.js';

/** Told of everything that membership does anywhere. */
export type ActionObserver = (daemon: VirtualDaemon, action: MembershipAction) => void;

/** Told when a daemon puts a revision in force. */
export type AppliedObserver = (daemon: VirtualDaemon, revision: number) => void;

/** Options of a {@link VirtualFleet}. */
export interface VirtualFleetOptions {
  members: number;
  seed: number;
  loss: number;
}

/** Data centres of each region. */
const LAYOUT: Readonly<Record<string, readonly string[]>> = {
  rosario: ['rosario-1', 'rosario-2', 'rosario-3'],
  sofia: ['sofia-1', 'sofia-2', 'sofia-3'],
  third: ['third-1', 'third-2', 'third-3'],
};

/** Runners of the fleet for each daemon, and pools, at the two-year size. */
const RUNNERS_PER_DAEMON = 4;
const POOLS = [
  'tile-assistant',
  'contract-reviews',
  'parcel-advice',
  'returns-summaries',
  'lookup',
];

/** Load of a runner at most, in tokens. */
const HIGHEST_LOAD = 40_000;

/** Daemons whose bytes are counted, spread over all data centres; 26 is no multiple of nine. */
const COUNTED_DAEMONS = 26;

const FIRST_PORT = 7400;
const ANNOUNCE_MILLISECONDS = 1_000;
const START_SPREAD_MILLISECONDS = 2_000;

/** Starts all daemons over two seconds; the first of each region are the seeds. */
export class VirtualFleet {
  readonly time = new VirtualTime();

  readonly store = new VirtualStore(this.time);

  readonly wire: Wire;

  readonly daemons: VirtualDaemon[] = [];

  private readonly observers = new Set<ActionObserver>();

  private readonly appliedObservers = new Set<AppliedObserver>();

  private readonly byAddress = new Map<string, VirtualDaemon>();

  /**
   * @param options - size, seed and loss.
   */
  constructor({ members, seed, loss }: VirtualFleetOptions) {
    this.wire = new Wire({ time: this.time, seed, loss });
    for (let index = 0; index < members; index += 1) this.add(index, seed);
    const step = Math.max(1, Math.floor(members / COUNTED_DAEMONS));
    for (let index = 0; index < members; index += step) {
      this.wire.count(this.daemons[index]!.self.daemonId);
    }
  }

  /** Starts everybody and lets them find each other. */
  start(): void {
    const seeds = this.daemons
      .slice(0, Object.keys(LAYOUT).length)
      .map(({ self }) => self.peerAddress);
    for (const daemon of this.daemons) {
      const at = this.wire.random() * START_SPREAD_MILLISECONDS;
      this.time.after(at, () => {
        daemon.start(seeds);
        this.announce(daemon);
      });
    }
  }

  /** @returns Daemons that were not killed. */
  living(): VirtualDaemon[] {
    return this.daemons.filter(({ killed }) => !killed);
  }

  /**
   * @param daemon - whose process ends now.
   */
  kill(daemon: VirtualDaemon): void {
    daemon.kill();
    this.wire.kill(daemon.self.daemonId);
    this.store.unwatch(daemon.self.daemonId);
  }

  /**
   * @param observer - told from now on.
   * @returns Ends the telling.
   */
  observe(observer: ActionObserver): () => void {
    this.observers.add(observer);
    return () => this.observers.delete(observer);
  }

  /**
   * @param observer - told from now on.
   * @returns Ends the telling.
   */
  observeApplied(observer: AppliedObserver): () => void {
    this.appliedObservers.add(observer);
    return () => this.appliedObservers.delete(observer);
  }

  private add(index: number, seed: number): void {
    const regions = Object.keys(LAYOUT);
    const region = regions[index % regions.length]!;
    const dataCentres = LAYOUT[region]!;
    const dataCentre = dataCentres[Math.floor(index / regions.length) % dataCentres.length]!;
    const self: MemberRecord = {
      daemonId: `${dataCentre}-entry-${index}`,
      incarnation: 1_790_000_000_000 + index,
      version: 1,
      state: 'alive',
      peerAddress: `10.${regions.indexOf(region)}.0.${index}:${FIRST_PORT}`,
      callerAddress: `10.${regions.indexOf(region)}.0.${index}:8080`,
      region,
      dataCentre,
      firm: region === 'rosario' ? 'litoral' : 'kutiya-punkt',
    };
    const daemon = new VirtualDaemon({
      self,
      seed: seed * 1_000 + index,
      pools: this.pools(),
      parts: {
        time: this.time,
        wire: this.wire,
        store: this.store,
        daemonAt: (address) => this.byAddress.get(address),
        observe: (observed, action) => this.observers.forEach((tell) => tell(observed, action)),
        onApplied: (applied, revision) =>
          this.appliedObservers.forEach((tell) => tell(applied, revision)),
      },
    });
    this.daemons.push(daemon);
    this.byAddress.set(self.peerAddress, daemon);
  }

  /** Load changes all the time, so every daemon has something new to say in each round. */
  private announce(daemon: VirtualDaemon): void {
    if (daemon.killed) return;
    daemon.publish(this.pools());
    this.time.after(ANNOUNCE_MILLISECONDS, () => this.announce(daemon));
  }

  private pools(): PoolNews[] {
    return POOLS.slice(0, RUNNERS_PER_DAEMON).map((service) => ({
      service,
      runners: 1,
      load: Math.round(this.wire.random() * HIGHEST_LOAD),
      lightestRunner: `${service}-${Math.floor(this.wire.random() * 300)}`,
      lightestLoad: Math.round(this.wire.random() * HIGHEST_LOAD),
    }));
  }
}

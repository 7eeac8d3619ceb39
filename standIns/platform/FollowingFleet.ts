/**
 * A few {@link FollowingDaemon}s over one store, in virtual time: gossip in rounds, partitions, restarts.
 */
import { ConfigurationEditor } from '../../src/configuration/ConfigurationEditor.js';
import { ConfigurationRepository } from '../../src/configuration/ConfigurationRepository.js';
import type { SyncTiming } from '../../src/configuration/SyncSchedule.js';
import { seededRandom } from '../../src/random/seededRandom.js';
import { SilentLog } from '../../src/logging/Log.js';
import { CountingPlatformStore } from '../../src/store/CountingPlatformStore.js';
import { PlatformCallMeter } from '../../src/store/PlatformCallMeter.js';
import { ManualClock } from '../../src/time/ManualClock.js';
import { FollowingDaemon } from './FollowingDaemon.js';
import { MemoryPlatformStore } from './MemoryPlatformStore.js';

/** Location of a daemon of the fleet. */
export interface FleetPlace {
  readonly region: string;
  readonly dataCentre: string;
}

/** Options of a {@link FollowingFleet}. */
export interface FollowingFleetOptions {
  /** One daemon for each place. */
  places: readonly FleetPlace[];
  seed?: number;
  store?: MemoryPlatformStore;
  timing?: Partial<SyncTiming>;
}

/** Milliseconds of one step of virtual time. */
const STEP_MILLISECONDS = 50;

/** Steps between two rounds of gossip. */
const GOSSIP_EVERY_STEPS = 4;

/** A record without revisions; those known of that daemon before are kept. */
const UNHEARD = { configurationRevision: 0, configurationDigest: '', runnersRevision: 0 } as const;

/** Daemons by name: `daemon-1` and so on. */
export class FollowingFleet {
  readonly clock = new ManualClock();

  readonly store: MemoryPlatformStore;

  readonly meter: PlatformCallMeter;

  readonly daemons = new Map<string, FollowingDaemon>();

  private readonly random: () => number;

  private readonly places: readonly FleetPlace[];

  private readonly timing: Partial<SyncTiming>;

  /** Regions that do not reach others. */
  private readonly cutRegions = new Set<string>();

  private starts = 0;

  private ids = 0;

  private steps = 0;

  /**
   * @param options - the places, the seed and the store.
   */
  constructor({
    places,
    seed = 1,
    store = new MemoryPlatformStore(),
    timing = {},
  }: FollowingFleetOptions) {
    this.store = store;
    this.timing = timing;
    this.places = places;
    this.random = seededRandom(seed);
    this.meter = new PlatformCallMeter({ clock: this.clock });
    places.forEach((_, index) => this.start(index));
  }

  /** @returns The daemon with a number, from 0. */
  daemon(index: number): FollowingDaemon {
    const daemon = this.daemons.get(`daemon-${index + 1}`);
    if (!daemon) throw new RangeError(`there is no daemon ${index}`);
    return daemon;
  }

  /**
   * Starts a daemon, or starts it anew with nothing in memory.
   *
   * @param index - its number, from 0.
   */
  start(index: number): void {
    const daemonId = `daemon-${index + 1}`;
    this.daemons.get(daemonId)?.kill();
    this.starts += 1;
    const daemon = new FollowingDaemon({
      self: { daemonId, ...this.places[index]! },
      incarnation: this.starts,
      seed: this.starts,
      timing: this.timing,
      store: this.store,
      meter: this.meter,
      reach: (other) => (this.reaches(daemonId, other) ? this.daemons.get(other) : undefined),
    });
    this.daemons.set(daemonId, daemon);
  }

  /**
   * @param region - the region to cut off from the others, or to join again.
   * @param cut - whether it is cut.
   */
  cut(region: string, cut: boolean): void {
    if (cut) this.cutRegions.add(region);
    else this.cutRegions.delete(region);
  }

  /**
   * @param index - the daemon through which an operator works.
   * @param store - where the editor writes, if not the fleet's store.
   * @returns An editor of that daemon.
   */
  editor(index: number, store = this.store): ConfigurationEditor {
    const daemon = this.daemon(index);
    const counted = new CountingPlatformStore({ store, meter: this.meter });
    return new ConfigurationEditor({
      repository: new ConfigurationRepository({ store: counted }),
      document: daemon.decisions.configuration,
      onCommitted: (answer) => {
        void daemon.send(this.clock.monotonicMilliseconds(), { kind: 'committed', answer });
      },
      clock: this.clock,
      log: new SilentLog(),
      newId: () => {
        this.ids += 1;
        return `snapshot-${this.ids}`;
      },
      retry: {
        random: this.random,
        wait: async () => this.store.faults.releaseLateEffects(),
      },
    });
  }

  /**
   * Lets virtual time pass.
   *
   * @param milliseconds - how much.
   */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.clock.advance(STEP_MILLISECONDS);
      this.steps += 1;
      const now = this.clock.monotonicMilliseconds();
      if (this.steps % GOSSIP_EVERY_STEPS === 0) await this.gossip(now);
      for (const daemon of this.daemons.values()) await daemon.run(now);
    }
  }

  /** @returns The configuration revision in force at each daemon. */
  revisions(): number[] {
    return [...this.daemons.values()].map(({ decisions }) => decisions.configuration.revision());
  }

  /** Each daemon sends its own state to one other, chosen at random; the members are known to all afterwards. */
  private async gossip(now: number): Promise<void> {
    const all = [...this.daemons.values()];
    for (const daemon of all) {
      const others = all.filter(
        (other) => other !== daemon && this.reaches(daemon.self.daemonId, other.self.daemonId),
      );
      const heard = others[Math.floor(this.random() * others.length)];
      const known = all.map((other) => ({
        ...other.member(),
        ...(other !== heard && other !== daemon && UNHEARD),
        alive: this.reaches(daemon.self.daemonId, other.self.daemonId),
      }));
      await daemon.send(now, { kind: 'members', members: known });
    }
  }

  private reaches(from: string, to: string): boolean {
    const [a, b] = [this.daemons.get(from), this.daemons.get(to)];
    if (!a || !b) return false;
    if (a.self.region === b.self.region) return true;
    return !this.cutRegions.has(a.self.region) && !this.cutRegions.has(b.self.region);
  }
}

/**
 * Delayed load information: reports from engines to gates, and digests between daemons.
 */
import type { RoutingTally } from './RoutingTally.js';
import type { OnDecided, SimulatedFleet } from './SimulatedFleet.js';
import type { VirtualTime } from './VirtualTime.js';
import { LOAD_REPORT_BYTES, POOL_DIGEST_BYTES } from './controlSizes.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

/** Latest loads that one daemon has received. */
export interface HeardLoads {
  readonly mean: number;
  /** Loads of all runners as their reports would give them; the design receives only a part of these. */
  readonly loads: ReadonlyMap<string, number>;
  /**
   * @param dataCentre - where it was heard.
   * @returns The lightest runner of each daemon there, and of each other data centre.
   */
  lightestFor(dataCentre: string): readonly LightRunner[];
}

/** A runner with its load. */
export interface LightRunner {
  readonly runnerId: string;
  readonly load: number;
}

const NOTHING_HEARD: HeardLoads = { mean: 0, loads: new Map(), lightestFor: () => [] };

/** Options of a {@link LoadBoard}. */
export interface LoadBoardOptions {
  readonly run: RoutingRunOptions;
  readonly time: VirtualTime;
  readonly fleet: SimulatedFleet;
  readonly tally: RoutingTally;
  readonly usesGates: boolean;
  readonly onDecided: OnDecided;
}

/** Interval between reports and digests. */
const PERIOD_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** Daemons to which one daemon sends its digest in a period, as gossip does. */
const GOSSIP_FANOUT = 2;

/** Takes snapshots of the loads and publishes them after the lag. */
export class LoadBoard {
  private readonly options: LoadBoardOptions;

  private heardLoads: HeardLoads = NOTHING_HEARD;

  /**
   * @param options - the run.
   */
  constructor(options: LoadBoardOptions) {
    this.options = options;
  }

  /** @returns What everybody last heard. */
  get heard(): HeardLoads {
    return this.heardLoads;
  }

  /** Begins. */
  start(): void {
    this.options.time.every(PERIOD_MILLISECONDS, () => this.takePicture());
  }

  private takePicture(): void {
    const { run, time, usesGates, tally } = this.options;
    const lag = run.reportLagSeconds * MILLISECONDS_PER_SECOND;
    const reported = this.engineLoads();
    const heard = usesGates ? this.gateLoads() : LoadBoard.heardFrom(reported, new Map());
    const measured = new Map(
      [...this.options.fleet.runners].map(([id, { engine }]) => [id, engine.tokensPerSecond]),
    );
    tally.control(
      'report',
      (reported.size * LOAD_REPORT_BYTES * PERIOD_MILLISECONDS) / MILLISECONDS_PER_SECOND,
    );
    tally.control('digest', run.daemons * GOSSIP_FANOUT * POOL_DIGEST_BYTES);
    time.after(lag, () => {
      this.heardLoads = heard;
      if (usesGates) this.showToGates(reported, measured, lag);
    });
  }

  private engineLoads(): Map<string, number> {
    const { fleet } = this.options;
    const live = [...fleet.runners].filter(([, { record }]) => record.state === 'live');
    return new Map(live.map(([id, { engine }]) => [id, engine.work]));
  }

  /** What the gates say: exact for their own work. */
  private gateLoads(): HeardLoads {
    const { fleet, time } = this.options;
    const loads = new Map<string, number>();
    const lightest = new Map<string, LightRunner[]>();
    for (const daemon of fleet.daemons) {
      if (!daemon.alive || daemon.pausedUntil > time.now) continue;
      const own: LightRunner[] = [];
      for (const [runnerId, gate] of daemon.gates) {
        const { state, load } = gate.snapshot(time.now);
        const live = fleet.runners.get(runnerId)?.record.state === 'live';
        if (live && (state === 'open' || state === 'opening')) {
          loads.set(runnerId, (loads.get(runnerId) ?? 0) + load);
          own.push({ runnerId, load });
        }
      }
      const { dataCentre } = daemon.record;
      lightest.set(dataCentre, [...(lightest.get(dataCentre) ?? []), ...LoadBoard.least(own)]);
    }
    return LoadBoard.heardFrom(loads, lightest);
  }

  private static heardFrom(
    loads: ReadonlyMap<string, number>,
    lightest: ReadonlyMap<string, LightRunner[]>,
  ): HeardLoads {
    const sum = [...loads.values()].reduce((total, load) => total + load, 0);
    const byPlace = new Map(
      [...lightest.keys()].map((dataCentre) => {
        const others = [...lightest].filter(([other]) => other !== dataCentre);
        const far = others.flatMap(([, list]) => LoadBoard.least(list));
        return [dataCentre, [...lightest.get(dataCentre)!, ...far]];
      }),
    );
    return {
      mean: sum / Math.max(1, loads.size),
      loads,
      lightestFor: (dataCentre) => byPlace.get(dataCentre) ?? [],
    };
  }

  private static least(list: readonly LightRunner[]): LightRunner[] {
    return [...list].sort((a, b) => a.load - b.load).slice(0, 1);
  }

  private showToGates(
    reported: ReadonlyMap<string, number>,
    tokensPerSecond: ReadonlyMap<string, number>,
    lag: number,
  ): void {
    const { fleet, time, onDecided } = this.options;
    for (const daemon of fleet.daemons) {
      if (!daemon.alive || daemon.pausedUntil > time.now) continue;
      for (const runnerId of daemon.gates.keys()) {
        const mean = {
          kind: 'pool_mean',
          mean: this.heardLoads.mean,
          runners: Math.max(1, reported.size),
        } as const;
        onDecided(daemon, runnerId, daemon.atGate(time.now, runnerId, mean));
        const load = reported.get(runnerId);
        if (load === undefined) continue;
        const report = {
          load,
          running: 0,
          queued: 0,
          ageMilliseconds: lag,
          tokensPerSecond: tokensPerSecond.get(runnerId) ?? 0,
        };
        onDecided(
          daemon,
          runnerId,
          daemon.atGate(time.now, runnerId, { kind: 'load_report', report }),
        );
      }
    }
  }
}

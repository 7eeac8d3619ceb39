/**
 * Builds the snapshot of a pool in one data centre from this daemon's view of the fleet.
 */
import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import type { Rollout, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import { lowestRevision, isServing } from '../operators/daemonRevisions.js';
import { rendezvousOrder } from '../routing/rendezvous.js';
import type {
  PoolPicture,
  PoolRunner,
  RolloutPicture,
  RunnerDrain,
  WantedState,
} from './poolTypes.js';

/** Name of a pool: the runners of one service in one data centre. */
export interface PoolName {
  readonly service: string;
  readonly dataCentre: string;
}

/** Prefix of the author of a drain that a roll-out has set. */
const ROLLOUT_AUTHOR = 'rollout:';

/**
 * @param rollout - name of the roll-out.
 * @returns The author that its drains name.
 */
export function rolloutAuthor(rollout: string): string {
  return `${ROLLOUT_AUTHOR}${rollout}`;
}

/**
 * @param pool - the pool.
 * @returns The key of the pool's lease in the store.
 */
export function leaseKey({ service, dataCentre }: PoolName): string {
  return `leases/orders/${encodeURIComponent(service)}/${encodeURIComponent(dataCentre)}`;
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @returns All engine pools, including those without runners that a roll-out names.
 */
export function enginePools(fleet: FleetView): readonly PoolName[] {
  const { services, rollouts } = fleet.configuration();
  return services
    .filter(({ kind }) => kind === 'engine')
    .flatMap(({ name }) => {
      const rollout = rollouts.find(({ service }) => service === name);
      const dataCentres = new Set([
        ...fleet.runners(name).map(({ record }) => record.dataCentre),
        ...(rollout?.dataCentres ?? []),
      ]);
      return [...dataCentres].sort().map((dataCentre) => ({ service: name, dataCentre }));
    });
}

/**
 * Determines this daemon's rank among the possible holders of a pool's lease. These are the daemons of the
 * pool's data centre; if there are none, those of its region; if there are none either, all daemons. They are
 * sorted by rendezvous hashing, which gives the same order on every daemon.
 *
 * @param fleet - this daemon's view of the fleet.
 * @param pool - the pool.
 * @returns The rank, from 0; -1 if this daemon is not a possible holder because other daemons are nearer.
 */
export function candidateRank(fleet: FleetView, pool: PoolName): number {
  const alive = fleet.members().filter((member) => member.state === 'alive');
  const inDataCentre = alive.filter(({ dataCentre }) => dataCentre === pool.dataCentre);
  const region = fleet
    .runners(pool.service)
    .find(({ record }) => record.dataCentre === pool.dataCentre)?.record.region;
  const inRegion = alive.filter((member) => member.region === region);
  const nearest = [inDataCentre, inRegion, alive].find(({ length }) => length > 0) ?? [];
  const named = nearest.map(({ daemonId }) => ({ id: daemonId }));
  const self = fleet.self().daemonId;
  return rendezvousOrder(leaseKey(pool), named).findIndex(({ id }) => id === self);
}

function rolloutPicture(rollout: Rollout): RolloutPicture {
  const { name, state, resumesAs, fromVersion, toVersion, dataCentres } = rollout;
  const { maximumUnavailableShare, maximumFailures, finishedDataCentres } = rollout;
  return {
    name,
    state: state as RolloutPicture['state'],
    resumesAs,
    fromVersion,
    toVersion,
    maximumUnavailableShare,
    maximumFailures,
    dataCentres,
    finishedDataCentres,
  };
}

function drainOf(fleet: FleetView, { id, record }: FleetRunner, service: string): RunnerDrain {
  const drain = fleet
    .configuration()
    .drains.find(
      (each) => each.kind === 'runner' && each.id === id && each.incarnation === record.incarnation,
    );
  if (!drain) return 'none';
  return drain.requestedBy === rolloutAuthor(service) ? 'rollout' : 'other';
}

function poolRunner(fleet: FleetView, runner: FleetRunner, service: string): PoolRunner {
  const drain = drainOf(fleet, runner, service);
  // The view shows a drained runner as ejected. Its actual state follows from what it reports when read.
  const state = drain === 'rollout' && runner.state === 'ejected' ? 'live' : runner.state;
  return { id: runner.id, incarnation: Number(runner.record.incarnation), state, drain };
}

function weightsOf(fleet: FleetView, { model }: Service): Record<string, number> {
  const versions = fleet.configuration().modelVersions.filter((each) => each.model === model);
  return Object.fromEntries(versions.map((each) => [each.version, Number(each.weightBytes)]));
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @param pool - the pool.
 * @returns Snapshot of the pool, or `undefined` if its service no longer exists.
 */
export function poolPicture(fleet: FleetView, pool: PoolName): PoolPicture | undefined {
  const service = fleet.service(pool.service);
  if (!service) return undefined;
  const rollout = fleet.configuration().rollouts.find((each) => each.service === pool.service);
  const all = fleet.runners(pool.service);
  const here = all.filter(({ record }) => record.dataCentre === pool.dataCentre);
  const elsewhere = all.filter(({ record }) => record.dataCentre !== pool.dataCentre);
  return {
    ...pool,
    revision: fleet.configurationRevision(),
    everywhereRevision: Number(lowestRevision(fleet)),
    model: service.model,
    wantedVersion: service.wantedVersion,
    adapters: service.wantedAdapters,
    role: service.wantedRole as WantedState['role'],
    weightBytes: weightsOf(fleet, service),
    ...(rollout && { rollout: rolloutPicture(rollout) }),
    runners: here.map((runner) => poolRunner(fleet, runner, pool.service)),
    elsewhere: {
      runners: elsewhere.length,
      unavailable: elsewhere.filter(({ state }) => state !== 'live').length,
    },
  };
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @param dataCentre - name of the data centre.
 * @returns How many engine pools share the data centre's weight store; at least 1.
 */
export function poolsSharingWeights(fleet: FleetView, dataCentre: string): number {
  return Math.max(1, enginePools(fleet).filter((pool) => pool.dataCentre === dataCentre).length);
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @returns Whether this daemon may hold leases. A daemon that is leaving or was declared dead may not.
 */
export function mayHoldLeases(fleet: FleetView): boolean {
  const self = fleet.self();
  return isServing(self) && self.state === 'alive';
}

/**
 * The status of daemons, pools, runners and gates for operators, read from one daemon's view of the fleet.
 */
import { create } from '@bufbuild/protobuf';

import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import type { Drain, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type {
  DaemonStatus,
  PoolStatus,
  RunnerStatus,
  StatusResponse,
} from '../generated/baobabdock/v1/operators_pb.js';
import {
  DaemonStatusSchema,
  GateStatusSchema,
  PoolStatusSchema,
  RunnerStatusSchema,
  StatusResponseSchema,
} from '../generated/baobabdock/v1/operators_pb.js';
import type { DaemonRevision } from './daemonRevisions.js';
import { daemonRevisions, newestRevision, isServing } from './daemonRevisions.js';
import type { GateStatusReading } from './GateStatusSource.js';

function drained(drains: readonly Drain[], kind: string, id: string, incarnation: bigint): boolean {
  return drains.some(
    (drain) => drain.kind === kind && drain.id === id && drain.incarnation === incarnation,
  );
}

/**
 * @param daemon - a daemon's record, with the revision in force there.
 * @param newest - the revision that the daemon should have; below it, the status says that the daemon lags.
 * @param drains - the drains in force.
 * @returns The daemon's status for operators.
 */
export function daemonStatus(
  { member, revision }: DaemonRevision,
  newest: bigint,
  drains: readonly Drain[],
): DaemonStatus {
  const { daemonId, state, region, dataCentre, firm, callerAddress, peerAddress } = member;
  const { runnersRevision, incarnation } = member;
  return create(DaemonStatusSchema, {
    daemonId,
    state,
    region,
    dataCentre,
    firm,
    callerAddress,
    peerAddress,
    configurationRevision: revision,
    runnersRevision,
    incarnation,
    lags: isServing(member) && revision < newest,
    draining: drained(drains, 'daemon', daemonId, incarnation),
  });
}

function runnerStatus(runner: FleetRunner, fleet: FleetView): RunnerStatus {
  const { id, state, record } = runner;
  const { service, region, dataCentre, address, incarnation } = record;
  return create(RunnerStatusSchema, {
    runnerId: id,
    service,
    state,
    region,
    dataCentre,
    address,
    incarnation,
    gateDaemon: fleet.gateOf(id)?.daemonId ?? '',
    draining: drained(fleet.configuration().drains, 'runner', id, incarnation),
  });
}

function poolStatus(
  { name }: Service,
  fleet: FleetView,
  readings: readonly GateStatusReading[],
): PoolStatus {
  const runners = fleet.runners(name);
  const { mean } = fleet.poolLoad(name);
  const own = readings.filter(({ service }) => service === name);
  const highest = Math.max(0, ...own.map(({ load }) => load));
  return create(PoolStatusSchema, {
    service: name,
    runners: runners.length,
    liveRunners: runners.filter(({ state }) => state === 'live').length,
    meanLoad: mean,
    highestKnownMultiple: mean > 0 ? highest / mean : 0,
    gatesKnown: own.length,
  });
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @param gates - the readings of this daemon's own gates.
 * @param service - name of the only service to show; empty for all.
 * @returns The status for an operator.
 */
export function fleetStatus(
  fleet: FleetView,
  gates: readonly GateStatusReading[],
  service: string,
): StatusResponse {
  const { services, drains, rollouts } = fleet.configuration();
  const newest = newestRevision(fleet);
  const notServing = fleet.members().filter((member) => !isServing(member));
  const daemons = [
    ...daemonRevisions(fleet),
    ...notServing.map((member) => ({ member, revision: member.configurationRevision })),
  ];
  const shown = services.filter(({ name }) => service === '' || name === service);
  const names = new Set(shown.map(({ name }) => name));
  const readings = gates.filter((reading) => names.has(reading.service));
  return create(StatusResponseSchema, {
    daemonId: fleet.self().daemonId,
    revision: BigInt(fleet.configurationRevision()),
    newestRevision: newest,
    daemons: daemons.map((daemon) => daemonStatus(daemon, newest, drains)),
    pools: shown.map((pool) => poolStatus(pool, fleet, readings)),
    runners: shown.flatMap(({ name }) =>
      fleet.runners(name).map((runner) => runnerStatus(runner, fleet)),
    ),
    gates: readings.map((reading) => create(GateStatusSchema, { ...reading })),
    drains,
    rollouts: rollouts.filter((rollout) => names.has(rollout.service)),
  });
}

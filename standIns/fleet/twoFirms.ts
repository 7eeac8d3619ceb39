/**
 * A small fleet of both firms: a few daemons and runners of each, with the policies that each prefers.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';

import type {
  ClientAccount,
  RoutingPolicy,
  Service,
} from '../../src/generated/baobabdock/v1/configuration_pb.js';
import {
  ClientAccountSchema,
  RoutingPolicySchema,
  ServiceSchema,
} from '../../src/generated/baobabdock/v1/configuration_pb.js';
import type { Resource } from '../../src/generated/baobabdock/v1/operators_pb.js';
import {
  FleetService,
  KeyService,
  ResourceSchema,
  ResourceService,
} from '../../src/generated/baobabdock/v1/operators_pb.js';
import type { DaemonProcess, FleetProcesses, Place, RunnerProcess } from './FleetProcesses.js';

/** Running processes of both firms. */
export interface TwoFirms {
  readonly daemons: readonly DaemonProcess[];
  readonly runners: readonly RunnerProcess[];
  /** Keys by client account. */
  readonly keys: Readonly<Record<string, string>>;
}

/** Name of a firm's parts. */
interface Firm {
  readonly firm: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly account: string;
  readonly engineService: string;
  readonly model: string;
  readonly engines: number;
  readonly stepMilliseconds: string;
  readonly plainService: string;
  readonly policy: RoutingPolicy;
}

const LITORAL: Firm = {
  firm: 'litoral',
  region: 'rosario',
  dataCentres: ['rosario-1', 'rosario-2', 'rosario-3'],
  account: 'litoral-showroom-centro',
  engineService: 'tile-sales-assistant',
  model: 'tile-sales',
  engines: 3,
  stepMilliseconds: '4',
  plainService: 'sample-warehouse',
  policy: create(RoutingPolicySchema, {
    name: 'litoral-reuse',
    bound: 1.35,
    warmChoices: 8,
    coldChoices: 4,
    reuseWeight: 0.8,
    overflow: 'region',
    moveCache: true,
  }),
};

const KUTIYA_PUNKT: Firm = {
  firm: 'kutiya-punkt',
  region: 'sofia',
  dataCentres: ['sofia-1', 'sofia-2'],
  account: 'kutiya-agent-varna',
  engineService: 'head-office-language',
  model: 'head-office',
  engines: 2,
  stepMilliseconds: '3.5',
  plainService: 'parcel-tracking',
  policy: create(RoutingPolicySchema, {
    name: 'kutiya-skew',
    bound: 1.15,
    warmChoices: 4,
    coldChoices: 4,
    reuseWeight: 0.3,
    overflow: 'region',
    moveCache: false,
  }),
};

/** Both firms. */
export const FIRMS: readonly Firm[] = [LITORAL, KUTIYA_PUNKT];

const WAIT_IN_FORCE_MILLISECONDS = 20_000;
const STATUS_INTERVAL_MILLISECONDS = 200;

function placeOf({ firm, region, dataCentres }: Firm, index: number): Place {
  return { firm, region, dataCentre: dataCentres[index % dataCentres.length]! };
}

function accountOf({ account: name, firm }: Firm): ClientAccount {
  return create(ClientAccountSchema, { name, firm, highestPriority: 'urgent', weight: 1 });
}

function servicesOf({ firm, engineService, model, plainService, policy }: Firm): Service[] {
  const common = { firm, routingPolicy: policy.name };
  return [
    create(ServiceSchema, { ...common, name: engineService, kind: 'engine', model }),
    create(ServiceSchema, {
      ...common,
      name: plainService,
      kind: 'plain',
      pathPrefix: `/services/${plainService}`,
    }),
  ];
}

function resourcesOf(firm: Firm): Resource[] {
  const { policy } = firm;
  return [
    create(ResourceSchema, { resource: { case: 'routingPolicy', value: policy } }),
    ...servicesOf(firm).map((value) =>
      create(ResourceSchema, { resource: { case: 'service', value } }),
    ),
    create(ResourceSchema, { resource: { case: 'clientAccount', value: accountOf(firm) } }),
  ];
}

async function startRunners(fleet: FleetProcesses, firm: Firm): Promise<RunnerProcess[]> {
  const { engineService: service, model, engines, stepMilliseconds, plainService } = firm;
  const started = Array.from({ length: engines }, (_, index) =>
    fleet.startRunner({
      ...placeOf(firm, index),
      id: `${service}-${index + 1}`,
      service,
      model,
      arguments: ['--step-milliseconds', stepMilliseconds, '--cache-event-loss', '0'],
    }),
  );
  const plain = fleet.startRunner({
    ...placeOf(firm, 0),
    id: `${plainService}-1`,
    service: plainService,
  });
  return Promise.all([...started, plain]);
}

async function startDaemons(fleet: FleetProcesses): Promise<DaemonProcess[]> {
  const [first, ...others] = FIRMS.flatMap((firm) =>
    firm.dataCentres.map((dataCentre, index) => ({
      ...placeOf(firm, index),
      id: `daemon-${dataCentre}`,
    })),
  );
  // The first one is the seed of the others.
  const seed = await fleet.startDaemon(first!);
  return [seed, ...(await Promise.all(others.map((options) => fleet.startDaemon(options))))];
}

/**
 * Waits until a revision is in force on all daemons.
 *
 * @param fleet - the processes.
 * @param revision - the configuration's revision.
 * @returns How long it took, in milliseconds, as the daemon that was asked saw it.
 * @throws Error with the daemons that lag.
 */
export async function waitInForce(fleet: FleetProcesses, revision: bigint): Promise<number> {
  const answer = await fleet
    .operator()
    .call(FleetService, (client) =>
      client.waitInForce(
        { revision, timeoutMilliseconds: WAIT_IN_FORCE_MILLISECONDS },
        { timeoutMs: 2 * WAIT_IN_FORCE_MILLISECONDS },
      ),
    );
  if (answer.inForce) return answer.waitedMilliseconds;
  const lagging = answer.lagging.map(({ daemonId }) => daemonId).join(', ');
  throw new Error(`Revision ${revision} is not in force on ${lagging}.`);
}

async function createKey(fleet: FleetProcesses, clientAccount: string) {
  const origin = { changeId: randomUUID(), reason: 'a key for the demo' };
  return fleet.operator().call(KeyService, (client) => client.createKey({ origin, clientAccount }));
}

/**
 * Starts everything and configures it through the operators' interface.
 *
 * @param fleet - the processes.
 * @returns What runs, with the accounts' keys.
 */
export async function startTwoFirms(fleet: FleetProcesses): Promise<TwoFirms> {
  await fleet.startPlatform();
  const runnersStarted = Promise.all(FIRMS.map((firm) => startRunners(fleet, firm)));
  const daemons = await startDaemons(fleet);
  const runners = (await runnersStarted).flat();
  const origin = { changeId: randomUUID(), reason: 'both firms' };
  const resources = FIRMS.flatMap(resourcesOf);
  const operator = fleet.operator();
  let { revision } = await operator.call(ResourceService, (client) =>
    client.apply({ origin, resources }),
  );
  const keys: Record<string, string> = {};
  for (const { account } of FIRMS) {
    const created = await createKey(fleet, account);
    keys[account] = created.key;
    revision = created.revision;
  }
  await waitInForce(fleet, revision);
  return { daemons, runners, keys };
}

/**
 * Waits until no runner's gate is believed to be at a daemon.
 *
 * @param fleet - the processes.
 * @param daemonId - the daemon that is gone or leaves.
 * @throws Error when that takes longer than a fleet may need.
 */
export async function waitForGates(fleet: FleetProcesses, daemonId: string): Promise<void> {
  const endsAt = Date.now() + WAIT_IN_FORCE_MILLISECONDS;
  while (Date.now() < endsAt) {
    const { runners } = await fleet.operator().call(FleetService, (client) => client.status({}));
    if (runners.every(({ gateDaemon }) => gateDaemon !== daemonId)) return;
    await wait(STATUS_INTERVAL_MILLISECONDS);
  }
  throw new Error(`Gates are still believed to be at ${daemonId}.`);
}

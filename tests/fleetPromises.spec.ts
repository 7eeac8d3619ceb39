/**
 * Guarantees with real processes: at-most-once execution, no new work for a leaving runner, and one configuration for
 * all daemons.
 */
import { randomUUID } from 'node:crypto';
import { after, before, describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import type { Resource } from '../src/generated/baobabdock/v1/operators_pb.js';
import {
  FleetService,
  ResourceSchema,
  ResourceService,
} from '../src/generated/baobabdock/v1/operators_pb.js';
import type { OperatorClient } from '../src/operators/OperatorClient.js';
import type { CallResult } from '../standIns/callers/CallerClient.js';
import type { DaemonProcess, RunnerProcess } from '../standIns/fleet/FleetProcesses.js';
import { FIRMS, waitInForce } from '../standIns/fleet/twoFirms.js';
import { AGENT, FleetUnderTest, until } from './FleetUnderTest.js';
import { inexact } from './ManyChats.js';

const HANDOVERS = '/services/parcel-tracking/handovers';
const PLAIN_RUNNER = 'parcel-tracking-1';
const LEAVING_RUNNER = 'tile-sales-assistant-2';
const LATE_MILLISECONDS = 1500;
const SHORT_WAIT_MILLISECONDS = 1500;
const CHATS = 12;

const world = new FleetUnderTest();

interface Executions {
  readonly attempts: Readonly<Record<string, number>>;
  readonly business_keys: Readonly<Record<string, number>>;
}

async function executions({ address }: RunnerProcess): Promise<Executions> {
  const response = await fetch(`http://${address}/executions`);
  return (await response.json()) as Executions;
}

async function setFaults({ address }: RunnerProcess, faults: object): Promise<void> {
  const response = await fetch(`http://${address}/faults`, {
    method: 'POST',
    body: JSON.stringify(faults),
  });
  if (!response.ok) throw new Error(`The runner refused faults: ${await response.text()}`);
}

async function runsOf(parcel: string): Promise<number> {
  return (await executions(world.runner(PLAIN_RUNNER))).business_keys[parcel] ?? 0;
}

/** Sends a handover through one daemon; a lost connection is an answer of its own here. */
async function handOver(
  entry: string,
  parcel: string,
  binding: string,
): Promise<Pick<CallResult, 'status' | 'code' | 'notRun' | 'text'>> {
  const call = { method: 'POST', path: HANDOVERS, body: { parcel }, binding };
  return world
    .caller(AGENT, [entry])
    .plain(call)
    .catch(() => ({ status: 0, code: 'connection_lost', notRun: false, text: '' }));
}

async function bindingAt(entry: string, parcel: string): Promise<string> {
  const call = { method: 'POST', path: HANDOVERS, body: { parcel } };
  return (await world.caller(AGENT, [entry]).plain(call)).binding;
}

function policyResource(bound: number): Resource {
  const value = { ...FIRMS[0]!.policy, name: 'raced', bound };
  return create(ResourceSchema, { resource: { case: 'routingPolicy', value } });
}

function applyAt({ operatorEndpoint }: DaemonProcess, bound: number, changeId = randomUUID()) {
  const client = world.fleet.operator([operatorEndpoint]);
  const origin = { changeId, reason: 'a test' };
  return client.call(ResourceService, (service) =>
    service.apply({ origin, resources: [policyResource(bound)] }),
  );
}

async function historyOf(changeId: string): Promise<number> {
  const { entries } = await world.fleet
    .operator()
    .call(ResourceService, (service) => service.history({ maximum: 50 }));
  return entries.filter((entry) => entry.changeId === changeId).length;
}

/** Whether each daemon, asked itself, has the list of runners of a revision of the platform. */
async function everyDaemonKnows(revision: number): Promise<boolean> {
  const asked = world.fleet.runningDaemons().map(async ({ id, operatorEndpoint }) => {
    const { daemons } = await world.fleet
      .operator([operatorEndpoint])
      .call(FleetService, (service) => service.status({}));
    const self = daemons.find(({ daemonId }) => daemonId === id);
    return Number(self?.runnersRevision ?? 0) >= revision;
  });
  return (await Promise.all(asked)).every(Boolean);
}

describe('promises with real processes', () => {
  before(() => world.start());

  after(() => world.stop());

  it('runs a handover once when copies of it come through several daemons at the same time', async () => {
    // Guards against a non-idempotent request that runs at several daemons because the caller repeats it while the
    // first copy still runs.
    const parcel = 'P-copies';
    const entries = world.entries();
    const binding = await bindingAt(entries[0]!, parcel);
    await setFaults(world.runner(PLAIN_RUNNER), { lateMilliseconds: LATE_MILLISECONDS });
    const answers = await Promise.all(entries.map((entry) => handOver(entry, parcel, binding)));
    await setFaults(world.runner(PLAIN_RUNNER), {});
    expect(new Set(answers.map(({ text }) => text)).size).toEqual(1);
    expect(answers[0]!.status).toEqual(201);
    expect(await runsOf(parcel)).toEqual(1);
  });

  it('does not run a handover again when its answer was lost, and does not say "not run"', async () => {
    // Guards against a lost answer that is taken for a request that never ran: the service has done the work and its
    // connection breaks before the answer.
    const parcel = 'P-lost';
    const [first, second] = world.entries();
    const binding = await bindingAt(first!, parcel);
    await setFaults(world.runner(PLAIN_RUNNER), { lostAnswer: true, attempts: 1 });
    const lost = await handOver(first!, parcel, binding);
    const repeated = await handOver(second!, parcel, binding);
    await setFaults(world.runner(PLAIN_RUNNER), {});
    expect([lost.code, lost.notRun]).toEqual(['outcome_unknown', false]);
    expect([repeated.code, repeated.notRun]).toEqual(['outcome_unknown', false]);
    expect(await runsOf(parcel)).toEqual(1);
  });

  it('does not run a handover again when the daemon that holds its binding is killed', async () => {
    // Guards against a second run of a request whose daemon was killed after it had sent the request: another daemon
    // cannot know the outcome of the first run.
    const parcel = 'P-killed';
    const victim = world.daemonOf('rosario-2');
    const other = world.daemonOf('sofia-1');
    const binding = await bindingAt(victim.callerAddress, parcel);
    await setFaults(world.runner(PLAIN_RUNNER), { lateMilliseconds: LATE_MILLISECONDS });
    const first = handOver(victim.callerAddress, parcel, binding);
    await until(async () => (await runsOf(parcel)) === 1);
    await victim.program.kill();
    await first;
    const repeated = await handOver(other.callerAddress, parcel, binding);
    await setFaults(world.runner(PLAIN_RUNNER), {});
    expect([repeated.code, repeated.notRun]).toEqual(['outcome_unknown', false]);
    expect(await runsOf(parcel)).toEqual(1);
    await world.restart(victim);
  });

  it('gives a leaving runner no new work, and cuts nothing that runs there', async () => {
    // Guards against new work for a leaving runner that an outdated entry lists as live again.
    const leaving = world.runner(LEAVING_RUNNER);
    const chats = world.chats();
    const asked = chats.ask(CHATS, 'before-leave');
    await until(() => chats.streaming === CHATS);
    const leftAt = await world.fleet.listRunner(leaving, 'leaving');
    await until(() => everyDaemonKnows(leftAt));
    const backAt = await world.fleet.listRunner(leaving, 'live');
    await until(() => everyDaemonKnows(backAt));
    const earlier = Object.keys((await executions(leaving)).attempts).length;
    expect(inexact(await world.chats().ask(CHATS, 'after-leave'))).toEqual([]);
    expect(Object.keys((await executions(leaving)).attempts).length).toEqual(earlier);
    expect(inexact(await asked)).toEqual([]);
  });

  it('makes a change once when the platform loses the answer to its write', async () => {
    // Guards against a committed change that is reported as failed or made twice because the store's answer was lost.
    const changeId = randomUUID();
    await world.fleet.planPlatformFault('transact', 'lose_answer');
    const { revision } = await applyAt(world.daemonOf('rosario-1'), 1.3, changeId);
    await waitInForce(world.fleet, revision);
    expect(await historyOf(changeId)).toEqual(1);
  });

  it('lets one of two operators win a race, and shows the other what is there', async () => {
    // Guards against a lost update: two operators change the same policy, based on the same revision, through two
    // daemons.
    const operator = world.fleet.operator();
    const key = { kind: 'routing_policy', name: 'raced' };
    const { changedRevision: expectedRevision } = await operator.call(ResourceService, (service) =>
      service.read(key),
    );
    const race = [world.daemonOf('rosario-1'), world.daemonOf('sofia-2')].map((daemon, index) =>
      world.fleet.operator([daemon.operatorEndpoint]).call(ResourceService, (service) =>
        service.change({
          origin: { changeId: randomUUID(), reason: 'a race' },
          resource: policyResource(1.4 + index / 10),
          expectedRevision,
        }),
      ),
    );
    const ends = await Promise.allSettled(race);
    const lost = ends.filter((end) => end.status === 'rejected');
    expect(lost.length).toEqual(1);
    expect(ConnectError.from(lost[0]!.reason).code).toEqual(Code.Aborted);
  });

  it('names the daemon on which a change is not in force', async () => {
    // Guards against a change that is reported as in force everywhere while a frozen daemon still applies the previous
    // one.
    const frozen = world.daemonOf('sofia-2');
    const asked = world.daemonOf('rosario-1');
    frozen.program.signal('SIGSTOP');
    const { revision } = await applyAt(asked, 1.7);
    const operator: OperatorClient = world.fleet.operator([asked.operatorEndpoint]);
    const { inForce, lagging } = await operator.call(FleetService, (service) =>
      service.waitInForce({ revision, timeoutMilliseconds: SHORT_WAIT_MILLISECONDS }),
    );
    frozen.program.signal('SIGCONT');
    // Others may lag after so short a time, too; the frozen one must be among them.
    const named = lagging.some(({ daemonId }) => daemonId === frozen.id);
    expect([inForce, named]).toEqual([false, true]);
    await waitInForce(world.fleet, revision);
  });
});

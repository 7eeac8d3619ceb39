import { afterEach, beforeEach, describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import { accountNameOfKey, verifyKey } from '../callers/accountKeys.js';
import { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ConflictSchema,
  FindingListSchema,
  FleetService,
  KeyService,
  ResourceService,
  RolloutService,
} from '../generated/baobabdock/v1/operators_pb.js';
import { DataCentreSummarySchema, MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { OperatorClient } from './OperatorClient.js';
import { OperatorServer } from './OperatorServer.js';
import { createOperatorToken } from './OperatorTokens.js';
import type { TestOperatorServer } from './testOperatorServer.js';
import { startTestOperatorServer } from './testOperatorServer.js';

let server: TestOperatorServer;
let changeNumber = 0;

function origin() {
  changeNumber += 1;
  return { changeId: `change-${changeNumber}`, reason: 'a test' };
}

function client(token = server.writeToken, endpoints = [server.endpoint]): OperatorClient {
  return new OperatorClient({ endpoints, token });
}

function account(weight: number) {
  const value = { name: 'showroom-1', firm: 'litoral', weight };
  return { resource: { case: 'clientAccount' as const, value } };
}

async function refusalOf(call: Promise<unknown>): Promise<ConnectError> {
  return call.then(
    () => {
      throw new Error('The call succeeded; expected it to be refused.');
    },
    (error) => ConnectError.from(error),
  );
}

function resources() {
  return client().clientOf(server.endpoint, ResourceService);
}

describe(OperatorServer.name, () => {
  beforeEach(async () => {
    server = await startTestOperatorServer();
  });

  afterEach(() => server.close());

  it('creates, reads, changes, lists and removes a resource, and shows each change in the history', async () => {
    const calls = resources();
    await calls.create({ origin: origin(), resource: account(1) });
    const read = await calls.read({ kind: 'client_account', name: 'showroom-1' });
    const { changedRevision } = read;
    await calls.change({
      origin: origin(),
      resource: account(2),
      expectedRevision: changedRevision,
    });
    const list = await calls.list({ kind: 'client_account' });
    expect(list.resources.map(({ resource }) => resource.value?.name)).toEqual(['showroom-1']);
    await calls.remove({ origin: origin(), kind: 'client_account', name: 'showroom-1' });
    const { entries } = await calls.history({
      kind: 'client_account',
      name: 'showroom-1',
      maximum: 3,
    });
    expect(entries.map(({ effects, operator }) => [operator, effects[0]?.effect])).toEqual([
      ['ana', 'removed'],
      ['ana', 'changed'],
      ['ana', 'created'],
    ]);
  });

  it('refuses a change without a token, with an unknown token and with a read-only token', async () => {
    const strangers: [string, Code][] = [
      ['', Code.Unauthenticated],
      [createOperatorToken().token, Code.Unauthenticated],
      [server.readToken, Code.PermissionDenied],
    ];
    for (const [token, code] of strangers) {
      const calls = client(token).clientOf(server.endpoint, ResourceService);
      const error = await refusalOf(calls.create({ origin: origin(), resource: account(1) }));
      expect(error.code).toEqual(code);
    }
    expect(server.changes.entity('client_account', 'showroom-1')).toEqual(undefined);
  });

  it('names every mistake with its field', async () => {
    server.changes.validateEdits = () => [
      { place: { field: 'edits[1].weight' }, message: 'is too large' },
      { place: { field: 'edits[1].firm' }, message: 'is unknown' },
    ];
    const other = { name: 'showroom-2', firm: 'litoral', weight: 1 };
    const call = resources().apply({
      origin: origin(),
      resources: [account(1), { resource: { case: 'clientAccount', value: other } }],
    });
    const error = await refusalOf(call);
    const [details] = error.findDetails(FindingListSchema);
    expect(error.code).toEqual(Code.InvalidArgument);
    expect(details?.findings.map(({ field }) => field) ?? []).toEqual([
      'resources[1].clientAccount.weight',
      'resources[1].clientAccount.firm',
    ]);
  });

  it('answers a conflicting change with the newer value and its author', async () => {
    // Guards against a lost update: two operators read weight 1, the first sets 5, and the second overwrites it with 3
    // without noticing. This happens if a change does not carry the revision that its author has read.
    const calls = resources();
    await calls.create({ origin: origin(), resource: account(1) });
    const { changedRevision } = await calls.read({ kind: 'client_account', name: 'showroom-1' });
    await calls.change({
      origin: origin(),
      resource: account(5),
      expectedRevision: changedRevision,
    });
    const late = calls.change({
      origin: origin(),
      resource: account(3),
      expectedRevision: changedRevision,
    });
    const error = await refusalOf(late);
    const [conflict] = error.findDetails(ConflictSchema);
    expect(error.code).toEqual(Code.Aborted);
    const current = conflict?.current?.resource;
    expect(current?.case === 'clientAccount' && current.value.weight).toEqual(5);
    expect(conflict?.changedBy?.operator).toEqual('ana');
  });

  it('makes a change once when its answer was lost and it is repeated', async () => {
    // Guards against a repeated removal that is answered with "not found": the removal takes effect, its answer is lost,
    // and the command calls the next daemon. This happens if the repeat is checked against the current configuration
    // instead of its change id.
    const calls = resources();
    await calls.create({ origin: origin(), resource: account(1) });
    const removal = { origin: origin(), kind: 'client_account', name: 'showroom-1' };
    server.injectFaults('lost_answer');
    const unsure = await refusalOf(calls.remove(removal));
    expect(unsure.code).toEqual(Code.Unknown);
    const again = await calls.remove(removal);
    expect([again.repeated, again.effects[0]?.effect]).toEqual([true, 'removed']);
  });

  it('passes a change on to the next daemon when one does not answer', async () => {
    const dead = 'http://127.0.0.1:9';
    const answer = await client(server.writeToken, [dead, server.endpoint]).call(
      ResourceService,
      (calls) => calls.create({ origin: origin(), resource: account(1) }),
    );
    expect(answer.effects[0]?.effect).toEqual('created');
  });

  it('shows a key once and keeps only its hash, and keeps keys when an account is changed', async () => {
    const calls = resources();
    await calls.create({ origin: origin(), resource: account(1) });
    const keyOrigin = origin();
    const keys = client().clientOf(server.endpoint, KeyService);
    const { key, keyId } = await keys.createKey({ origin: keyOrigin, clientAccount: 'showroom-1' });
    await calls.change({ origin: origin(), resource: account(9) });
    const entity = server.changes.entity('client_account', 'showroom-1')?.entity;
    const stored = entity?.case === 'clientAccount' ? entity.value.keys : [];
    expect([accountNameOfKey(key), verifyKey(stored, key)]).toEqual(['showroom-1', keyId]);
    const repeat = await refusalOf(
      keys.createKey({ origin: keyOrigin, clientAccount: 'showroom-1' }),
    );
    expect(repeat.code).toEqual(Code.AlreadyExists);
  });

  it('waits until a revision is in force on all daemons, or lists the daemons that lag', async () => {
    const daemon = (daemonId: string, state: string, revision: bigint, dataCentre = 'x') =>
      create(MemberSchema, { daemonId, state, configurationRevision: revision, dataCentre });
    server.fleet.revision = 7;
    server.fleet.daemons = [
      daemon('a', 'alive', 7n),
      daemon('b', 'alive', 6n),
      daemon('c', 'dead', 1n),
      // In another data centre: its revision is known only from the data centre's summary.
      daemon('d', 'alive', 0n, 'y'),
    ];
    const sum = { dataCentre: 'y', lowestConfigurationRevision: 7n };
    server.fleet.summaries = [create(DataCentreSummarySchema, sum)];
    const calls = client().clientOf(server.endpoint, FleetService);
    const late = await calls.waitInForce({ revision: 7n, timeoutMilliseconds: 1 });
    expect([late.inForce, ...late.lagging.map(({ daemonId }) => daemonId)]).toEqual([false, 'b']);
    const waiting = calls.waitInForce({ revision: 7n, timeoutMilliseconds: 60_000 });
    server.fleet.daemons = [daemon('a', 'alive', 7n), daemon('d', 'alive', 0n, 'y')];
    expect((await waiting).inForce).toEqual(true);
  });

  it('shows the metrics of the daemon that answers, to operators only', async () => {
    server.fleet.daemons = [create(MemberSchema, { daemonId: 'a', state: 'alive' })];
    const { daemonId, page } = await client(server.readToken).call(FleetService, (calls) =>
      calls.readMetrics({}),
    );
    expect([daemonId, page]).toEqual(['a', 'baobabdock_answers_total 1\n']);
    const stranger = client('of-nobody').call(FleetService, (calls) => calls.readMetrics({}));
    expect((await refusalOf(stranger)).code).toEqual(Code.Unauthenticated);
  });

  it('starts a roll-out once, halts it and rolls it back, and refuses a version that is set directly', async () => {
    const calls = resources();
    const service = {
      name: 'sales',
      firm: 'litoral',
      kind: 'engine',
      model: 'tile',
      wantedVersion: '1',
    };
    const versions = ['1', '2'].map((version) => ({
      name: `tile-${version}`,
      model: 'tile',
      version,
    }));
    await calls.apply({
      origin: origin(),
      resources: [
        { resource: { case: 'service', value: service } },
        ...versions.map((value) => ({ resource: { case: 'modelVersion' as const, value } })),
      ],
    });
    const record = create(RunnerRecordSchema, {
      runnerId: 'r1',
      service: 'sales',
      dataCentre: 'rosario-1',
    });
    server.fleet.fleetRunners = [{ id: 'r1', record, state: 'live' }];
    const past = { case: 'service' as const, value: { ...service, wantedVersion: '2' } };
    const error = await refusalOf(calls.change({ origin: origin(), resource: { resource: past } }));
    expect(error.findDetails(FindingListSchema)[0]?.findings[0]?.field).toEqual(
      'resource.service.wantedVersion',
    );
    const rollouts = client().clientOf(server.endpoint, RolloutService);
    await rollouts.startRollout({ origin: origin(), service: 'sales', toVersion: '2' });
    const twice = await refusalOf(
      rollouts.startRollout({ origin: origin(), service: 'sales', toVersion: '2' }),
    );
    expect(twice.code).toEqual(Code.FailedPrecondition);
    await rollouts.steerRollout({ origin: origin(), name: 'sales', action: 'halt' });
    await rollouts.steerRollout({ origin: origin(), name: 'sales', action: 'roll_back' });
    const [rollout] = (await rollouts.listRollouts({})).rollouts;
    expect([rollout?.state, rollout?.fromVersion, rollout?.dataCentres[0]]).toEqual([
      'rolling_back',
      '1',
      'rosario-1',
    ]);
  });

  it('refuses a body above the limit', async () => {
    const reason = 'x'.repeat(70_000);
    const call = resources().create({ origin: { changeId: 'long', reason }, resource: account(1) });
    expect((await refusalOf(call)).code).toEqual(Code.ResourceExhausted);
  });
});

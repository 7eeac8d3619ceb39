import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { after, before, describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { Cli } from 'clipanion';
import { expect } from 'earl';

import { MemberSchema } from '../../generated/baobabdock/v1/peers_pb.js';
import type { TestOperatorServer } from '../../operators/testOperatorServer.js';
import { startTestOperatorServer } from '../../operators/testOperatorServer.js';
import { operatorCommands } from './operatorCommands.js';

const FILE = `clientAccounts:
  - name: showroom-1
    firm: litoral
    weight: 1
  - name: showroom-2
    firm: litoral
    weight: 2
`;

let server: TestOperatorServer;
let directory: string;

async function run(...words: string[]): Promise<{ code: number; out: string; errors: string }> {
  const cli = new Cli({ binaryName: 'baobabdock', enableColors: false });
  for (const command of operatorCommands) cli.register(command);
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const env = {
    BAOBABDOCK_ENDPOINTS: `http://127.0.0.1:9,${server.endpoint}`,
    BAOBABDOCK_TOKEN: server.writeToken,
  };
  const code = await cli.run(['operator', ...words], { stdout, stderr, env });
  stdout.end();
  stderr.end();
  return { code, out: await text(stdout), errors: await text(stderr) };
}

describe('baobabdock operator', () => {
  before(async () => {
    server = await startTestOperatorServer();
    server.fleet.revision = 2;
    server.fleet.daemons = [create(MemberSchema, { daemonId: 'litoral-1', state: 'alive' })];
    directory = await mkdtemp(path.join(tmpdir(), 'operator-'));
    await writeFile(path.join(directory, 'good.yaml'), FILE);
    await writeFile(path.join(directory, 'bad.yaml'), FILE.replace('weight: 2', 'wait: 2'));
  });

  after(async () => {
    await server.close();
    await rm(directory, { recursive: true });
  });

  it('applies a file, changes one field, lists and shows the history', async () => {
    const applied = await run('apply', path.join(directory, 'good.yaml'), '--reason', 'opening');
    expect([applied.code, applied.out]).toEqual([
      0,
      'client account showroom-1: created\nclient account showroom-2: created\nrevision 1\n',
    ]);
    const changed = await run('accounts', 'change', 'showroom-2', '--set', 'weight=7', '--wait');
    expect([changed.code, changed.out]).toEqual([
      0,
      'client account showroom-2: changed\nrevision 2\n',
    ]);
    const listed = await run('accounts', 'list');
    expect(listed.out.split('\n').map((line) => line.split(/ {2,}/u).slice(0, 2))).toEqual([
      ['NAME', 'FIRM'],
      ['showroom-1', 'litoral'],
      ['showroom-2', 'litoral'],
      [''],
    ]);
    const read = JSON.parse((await run('accounts', 'read', 'showroom-2', '--json')).out);
    expect(read.resource.clientAccount.weight).toEqual(7);
    const history = JSON.parse((await run('history', '--json')).out);
    expect(history.entries.map((entry: { reason: string }) => entry.reason)).toEqual([
      '',
      'opening',
    ]);
  });

  it('prints the mistakes of a file at their places, whoever found them', async () => {
    const file = path.join(directory, 'bad.yaml');
    const own = await run('apply', file);
    expect([own.code, own.errors.split(': ').slice(0, 2)]).toEqual([
      1,
      [`${file}:7:5`, 'clientAccounts[1].wait'],
    ]);
    server.changes.validateEdits = () => [
      { place: { field: 'edits[1].weight' }, message: 'is too large' },
    ];
    const good = path.join(directory, 'good.yaml');
    const theirs = await run('apply', good);
    server.changes.validateEdits = () => [];
    expect([theirs.code, theirs.errors]).toEqual([
      1,
      `${good}:7:13: clientAccounts[1].weight: is too large\n`,
    ]);
  });

  it('says what is wrong with a command', async () => {
    const cases: [string[], string][] = [
      [['accounts', 'create', 'x', '--set', 'wieght=1'], 'wieght: is no field'],
      [['accounts', 'create', 'x', '--set', 'weight=-1'], 'weight: has to be a whole number'],
      [['accounts', 'read', 'nobody'], 'NotFound: There is no client account "nobody"'],
      [['drain', 'house', 'x'], 'kind: has to be daemon or runner'],
      [['rollout', 'start', 'nothing', '2'], 'NotFound: There is no service "nothing"'],
    ];
    for (const [words, message] of cases) {
      const { code, errors } = await run(...words);
      expect([code, errors.startsWith(message)]).toEqual([1, true]);
    }
  });

  it('gives every command help with an example', async () => {
    for (const command of operatorCommands) {
      const [words] = command.paths ?? [];
      expect(words?.[0]).toEqual('operator');
      expect(command.usage?.examples?.length ?? 0).toBeGreaterThan(0);
    }
  });
});

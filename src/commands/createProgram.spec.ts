import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { after, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { loadSettings } from '../settings/loadSettings.js';
import { createProgram } from './createProgram.js';

interface Outcome {
  exitCode: number;
  results: string;
  errors: string;
}

async function run(...parameters: string[]): Promise<Outcome> {
  const [stdout, stderr] = [new PassThrough(), new PassThrough()];
  const exitCode = await createProgram({ stderr }).run(parameters, { stdout, stderr, env: {} });
  const text = (stream: PassThrough) => String(stream.read() ?? '');
  return { exitCode, results: text(stdout), errors: text(stderr) };
}

const SESSION = [
  '{"feature":"gates","options":{"maximumConcurrent":1}}',
  '{"at":0,"message":{"kind":"open"}}',
  '{"at":2000,"message":{"kind":"tick"}}',
  '{"at":2001,"message":{"kind":"request","request":{"attemptId":"a1","requestId":"r1","clientAccount":"c","priority":"standard","deadline":9000,"promptTokens":10,"cachedTokens":0,"maximumTokens":10,"bound":1.25,"lastChoice":true,"accountWeight":1,"accountMaximumConcurrent":0,"accountMaximumTokensPerMinute":0}}}',
  '',
].join('\n');

let folder: string;

function temporaryFile(name: string, content: string): string {
  const file = join(folder, name);
  writeFileSync(file, content);
  return file;
}

before(() => {
  folder = mkdtempSync(join(tmpdir(), 'program-'));
});

after(() => rmSync(folder, { recursive: true }));

describe('the program', () => {
  it('has help with an example for every command', async () => {
    const commands = createProgram({ stderr: new PassThrough() }).definitions();
    expect(commands.length >= 4).toEqual(true);
    const lacking = commands.filter(
      ({ examples, description }) => !examples?.length || !description,
    );
    expect(lacking.map(({ path }) => path)).toEqual([]);
  });

  it('writes errors of usage to standard error and fails', async () => {
    // Guards against a script that reads an error as a result: clipanion prints errors on standard output.
    const { exitCode, results, errors } = await run('sevre', 'x.yaml');
    expect({ exitCode, results }).toEqual({ exitCode: 1, results: '' });
    expect(errors).toEqual(expect.includes('Command not found'));
  });

  it('prints its version for programs', async () => {
    const { results } = await run('version', '--json');
    const { version } = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
    expect((JSON.parse(results) as { version: string }).version).toEqual(version);
  });
});

describe('check', () => {
  it('lists all findings of all files', async () => {
    const wrong = temporaryFile('wrong.yaml', 'daemon:\n  id: A B\n  firm: a\n  regoin: b\n');
    const { exitCode, errors } = await run('check', wrong, join(folder, 'missing.yaml'));
    expect(exitCode).toEqual(1);
    expect(errors).toEqual(expect.includes(`${wrong}:2:7: daemon.id: has to be a name`));
    expect(errors).toEqual(
      expect.includes(`${wrong}:4:3: daemon.regoin: is not a setting; did you mean region?`),
    );
    expect(errors).toEqual(expect.includes('missing.yaml: cannot be read'));
  });

  it('takes the examples of both firms, and so does serve', async () => {
    const files = ['examples/litoral.yaml', 'examples/kutiya-punkt.yaml'];
    const { exitCode, results, errors } = await run('check', ...files);
    expect({ exitCode, errors }).toEqual({ exitCode: 0, errors: '' });
    expect(results).toEqual(expect.includes('examples/litoral.yaml: valid'));
    const environment = {
      BAOBABDOCK_ID: 'a-1',
      BAOBABDOCK_DATA_CENTRE: 'a',
      BAOBABDOCK_HOST: '10.0.0.1',
      BAOBABDOCK_SEEDS: '10.0.0.1:7400,10.0.0.2:7400',
      BAOBABDOCK_FLEET_SECRET: 'a secret of the whole fleet',
      BAOBABDOCK_TOKEN_GUARDIA: '0'.repeat(64),
      BAOBABDOCK_TOKEN_DEZHUREN: 'f'.repeat(64),
    };
    for (const file of files) {
      const result = loadSettings(file, { environment });
      expect(result.kind === 'valid' ? [] : result.findings).toEqual([]);
    }
    const { errors: absent, exitCode: failed } = await run('check', '--complete', ...files);
    expect(failed).toEqual(1);
    expect(absent).toEqual(expect.includes('BAOBABDOCK_FLEET_SECRET is not set'));
  });
});

describe('check of each kind of file', () => {
  const ROUTER = JSON.stringify({ router: { name: 'r1', regoin: 'x' } });

  it('says what it took a file for', async () => {
    const session = temporaryFile('session.jsonl', SESSION);
    const resources = 'examples/litoral-resources.yaml';
    const { exitCode, results } = await run('check', session, resources);
    expect(exitCode).toEqual(0);
    expect(results).toEqual(expect.includes('session.jsonl: valid session of decisions'));
    expect(results).toEqual(expect.includes(`${resources}: valid resources`));
  });

  it('names every mistake in settings of a daemon that forwards directly', async () => {
    const file = temporaryFile('router.yaml', ROUTER);
    const { exitCode, errors } = await run('check', file);
    expect(exitCode).toEqual(1);
    expect(errors).toEqual(
      expect.includes('router.regoin: is not a setting; did you mean region?'),
    );
    expect(errors).toEqual(expect.includes('router.addresses'));
  });

  it('names mistakes in resources and in sessions with their place', async () => {
    const resources = temporaryFile('resources.yaml', 'services:\n  - nmae: x\n');
    const session = temporaryFile('session.jsonl', '{"feature":"x"}\nnothing\n');
    const { exitCode, errors } = await run('check', resources, session);
    expect(exitCode).toEqual(1);
    expect(errors).toEqual(expect.includes(`${resources}:2:`));
    expect(errors).toEqual(expect.includes(`${session}:2:`));
  });
});

describe('replay', () => {
  it('fills in a session, prints why, and finds it the same byte for byte', async () => {
    const file = temporaryFile('gates.jsonl', SESSION);
    expect((await run('replay', file)).exitCode).toEqual(1);
    expect((await run('replay', '--rewrite', file)).exitCode).toEqual(0);
    const written = readFileSync(file, 'utf8');
    const { exitCode, results } = await run('replay', file);
    expect(exitCode).toEqual(0);
    expect(results).toEqual(expect.includes('start attemptId=a1'));
    expect(results).toEqual(expect.includes('3 steps, all as recorded'));
    await run('replay', '--rewrite', '--quiet', file);
    expect(readFileSync(file, 'utf8')).toEqual(written);
  });

  it('names the first line that came out otherwise', async () => {
    // Guards against a changed decision that goes unnoticed because replayed actions are printed but not compared.
    const file = temporaryFile('changed.jsonl', SESSION);
    await run('replay', '--rewrite', file);
    const changed = readFileSync(file, 'utf8').replace('"kind":"start"', '"kind":"refuse"');
    const { exitCode, errors } = await run('replay', temporaryFile('changed.jsonl', changed));
    expect(exitCode).toEqual(1);
    expect(errors).toEqual(expect.includes(`${file}:4: action 1 was recorded as {"kind":"refuse"`));
  });

  it('reports everything that is wrong with a file', async () => {
    const file = temporaryFile(
      'bad.jsonl',
      '{"feature":"x"}\n{"at":5,"message":{"kind":"a"}}\n{"at":1,"message":{}}\n{"at":4,"message":{"kind":"b"}}\nx\n',
    );
    const { exitCode, errors } = await run('replay', file);
    expect(exitCode).toEqual(1);
    const lines = errors.trimEnd().split('\n');
    expect(lines.map((line) => line.slice(file.length, file.length + 3))).toEqual([
      ':3:',
      ':4:',
      ':5:',
      ':1:',
    ]);
  });
});

describe('golden sessions', () => {
  const golden = readdirSync('golden', { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.jsonl'))
    .sort();
  for (const name of golden) {
    it(`replays ${name} byte for byte`, async () => {
      const { exitCode, errors } = await run('replay', '--quiet', join('golden', name));
      expect({ exitCode, errors }).toEqual({ exitCode: 0, errors: '' });
    });
  }
});

describe('explain', () => {
  const line = (number: number, fields: object) =>
    JSON.stringify({
      time: '2026-01-05T10:00:00.000Z',
      level: 'warn',
      number,
      event: 'forwarding.not_served',
      text: '',
      daemon: 'router-1',
      fields,
    });

  it('tells what became of a request, from the logs of several daemons', async () => {
    const log = temporaryFile(
      'router-1.log',
      line(2601, { request: 'r1', status: 503, outcome: 'no_runner', milliseconds: 3 }),
    );
    const other = temporaryFile('router-2.log', line(2600, { request: 'r2' }));
    const { exitCode, results } = await run('explain', 'r1', log, other);
    expect(exitCode).toEqual(0);
    expect(results).toEqual(expect.includes('status 503 after 3 ms: no runner of the service'));
    expect(results).toEqual(expect.includes('router-1 2601 forwarding.not_served status=503'));
  });

  it('fails with a reason where no line names the request, or a file is missing', async () => {
    const log = temporaryFile('router-1.log', line(2600, { request: 'r1' }));
    const unknown = await run('explain', 'r9', log);
    expect([unknown.exitCode, unknown.results]).toEqual([1, '']);
    expect(unknown.errors).toEqual(expect.includes('no line of 1 names the request r9'));
    const missing = await run('explain', 'r1', log, join(folder, 'missing.log'));
    expect(missing.exitCode).toEqual(1);
    expect(missing.errors).toEqual(expect.includes('missing.log: cannot be read'));
  });
});

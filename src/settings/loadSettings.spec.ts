import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';
import { stringify } from 'yaml';
import { z } from 'zod';

import { ALL_FEATURES } from '../features/allFeatures.js';
import { defineFeature } from '../features/Feature.js';
import { formatFinding } from '../findings/Findings.js';
import { checkSettings } from './checkSettings.js';
import { loadSettings } from './loadSettings.js';
import { parseSettings } from './parseSettings.js';

const FILE = 'fleet.yaml';

const vessel = defineFeature({
  name: 'vessel',
  logEvents: {},
  settings: z.object({
    name: z.string().min(3).describe('Name.'),
    crew: z.int().min(1).max(9).default(2).describe('Crew.'),
    mode: z.enum(['calm', 'storm']).default('calm').describe('Mode.'),
    host: z.union([z.ipv4(), z.ipv6()], 'has to be an IP number').optional().describe('Host.'),
    secrets: z.array(z.string().min(16)).default([]).describe('Secrets.'),
    limits: z.record(z.string(), z.strictObject({ top: z.number().gt(0) })).default({}),
    log: z.strictObject({ level: z.string().default('info') }).prefault({}),
  }),
  checkSettings: ({ crew, mode }, report) => {
    if (mode === 'storm' && crew < 3) report(['crew'], 'has to be at least 3 in a storm');
  },
});
const harbour = defineFeature({
  name: 'harbour',
  logEvents: {},
  settings: z.strictObject({ berths: z.int().default(4) }),
});
const FEATURES = [vessel, harbour] as const;

function parse(text: string, environment: Record<string, string> = {}) {
  return parseSettings(text, { features: FEATURES, file: FILE, environment });
}

function findingsOf(text: string): string[] {
  const result = parse(text);
  return result.kind === 'valid' ? [] : result.findings.map(formatFinding);
}

describe(loadSettings.name, () => {
  it('fills in defaults, also of sections that are missing or empty', () => {
    expect(parse('vessel:\n  name: Ana\nharbour:\n')).toEqual({
      kind: 'valid',
      settings: {
        vessel: {
          name: 'Ana',
          crew: 2,
          mode: 'calm',
          secrets: [],
          limits: {},
          log: { level: 'info' },
        },
        harbour: { berths: 4 },
      },
    });
  });

  const faults: [string, string, string[]][] = [
    ['an empty file', '', ['fleet.yaml:1:1: vessel.name: is missing; expected text']],
    ['a list', '- a', ['fleet.yaml:1:1: has to be a mapping with one section per feature']],
    [
      'a section that is not a mapping',
      'vessel: 5\n',
      ['fleet.yaml:1:9: vessel: expected a mapping, found a number'],
    ],
    [
      'misspelt keys at any depth, also in sections whose schema is not strict',
      'vesel: {}\nvessel:\n  name: Ana\n  crw: 3\n  log: {levle: info}\n  limits: {a: {top: 1, tap: 1}}\n',
      [
        'fleet.yaml:1:1: vesel: is not a setting; did you mean vessel?',
        'fleet.yaml:4:3: vessel.crw: is not a setting; did you mean crew?',
        'fleet.yaml:5:9: vessel.log.levle: is not a setting; did you mean level?',
        'fleet.yaml:6:24: vessel.limits.a.tap: is not a setting; did you mean top?',
      ],
    ],
    [
      'an unknown key without a similar known key',
      'vessel: {name: Ana, zzzzzz: 1}',
      ['fleet.yaml:1:21: vessel.zzzzzz: is not a setting'],
    ],
    [
      'duplicate keys',
      'vessel:\n  name: Ana\n  crew: 1\n  crew: 2\n',
      ['fleet.yaml:4:3: duplicate key in this mapping'],
    ],
    [
      'wrong types and values, all of them and in the order of the file',
      'vessel:\n  name: A\n  crew: 4.5\n  mode: strom\n  host: localhost\n  secrets: [abc, 5]\n  limits: {x: {top: 0}}\n',
      [
        'fleet.yaml:2:9: vessel.name: has to have at least 3 characters',
        'fleet.yaml:3:9: vessel.crew: expected a whole number, found a number that is not whole',
        'fleet.yaml:4:9: vessel.mode: has to be one of calm, storm; did you mean storm?',
        'fleet.yaml:5:9: vessel.host: has to be an IP number',
        'fleet.yaml:6:13: vessel.secrets[0]: has to have at least 16 characters',
        'fleet.yaml:6:18: vessel.secrets[1]: expected text, found a number',
        'fleet.yaml:7:21: vessel.limits.x.top: has to be more than 0',
      ],
    ],
    [
      'settings that contradict each other, along with a mistake in another section',
      'vessel: {name: Ana, mode: storm}\nharbour: {berths: x}\n',
      [
        'fleet.yaml:1:1: vessel.crew: has to be at least 3 in a storm',
        'fleet.yaml:2:19: harbour.berths: expected a number, found text',
      ],
    ],
    [
      'a value behind an alias',
      'harbour: &h {berths: x}\nvessel: {name: Ana, log: *h}\n',
      [
        'fleet.yaml:1:14: vessel.log.berths: is not a setting',
        'fleet.yaml:1:22: harbour.berths: expected a number, found text',
      ],
    ],
  ];
  for (const [name, text, findings] of faults) {
    it(`finds ${name}`, () => expect(findingsOf(text)).toEqual(findings));
  }

  it('reports text that is not valid YAML, with its position', () => {
    const [finding] = findingsOf('vessel:\n  name: [Ana\n');
    expect(finding ?? '').toEqual(expect.includes('fleet.yaml:3:1'));
  });

  it('rejects aliases that expand exponentially', () => {
    // Guards against a check that exhausts memory: with seven lines, each a list of nine aliases of the
    // line before, unlimited expansion of aliases grows exponentially.
    const lines = ['a0: &a0 [x, x, x, x, x, x, x, x, x]'];
    for (let index = 1; index < 7; index += 1) {
      const aliases = Array.from({ length: 9 }, () => `*a${index - 1}`).join(', ');
      lines.push(`a${index}: &a${index} [${aliases}]`);
    }
    const [finding] = findingsOf(lines.join('\n'));
    expect(finding ?? '').toEqual(expect.includes('Excessive alias count'));
  });

  it('reports a file that cannot be read', () => {
    expect(loadSettings('/nowhere/at/all.yaml').kind).toEqual('invalid');
  });
});

describe('external values', () => {
  const text =
    'vessel:\n  name: {fromEnvironment: VESSEL}\n  crew: {fromEnvironment: CREW}\n  secrets: {fromEnvironment: KEYS}\n';
  const environment = { VESSEL: 'Ana', CREW: '7', KEYS: `${'k'.repeat(16)}, ${'l'.repeat(16)}` };

  it('are read from the environment and converted to the type of the schema', () => {
    const result = parse(text, environment);
    expect(result.kind).toEqual('valid');
    if (result.kind !== 'valid') return;
    const { name, crew, secrets } = result.settings.vessel;
    expect({ name, crew, secrets }).toEqual({
      name: 'Ana',
      crew: 7,
      secrets: ['k'.repeat(16), 'l'.repeat(16)],
    });
  });

  it('are read from a file relative to the settings file', () => {
    const folder = mkdtempSync(join(tmpdir(), 'settings-'));
    writeFileSync(join(folder, 'secret'), 'a-secret-of-a-fleet\n');
    const file = join(folder, FILE);
    const given = 'vessel: {name: Ana, secrets: [{fromFile: secret}, {fromFile: none}]}';
    const { findings, absent } = checkSettings(given, {
      features: FEATURES,
      file,
      environment: {},
    });
    const right = given.replace(', {fromFile: none}', '');
    const result = parseSettings(right, { features: FEATURES, file, environment: {} });
    rmSync(folder, { recursive: true });
    expect(findings).toEqual([]);
    expect(absent.map(formatFinding)).toEqual([
      `${file}:1:51: vessel.secrets[1]: the file none cannot be read or is larger than 65536 bytes`,
    ]);
    expect(result.kind === 'valid' && result.settings.vessel.secrets).toEqual([
      'a-secret-of-a-fleet',
    ]);
  });

  it('are the only findings about their fields if they are unavailable', () => {
    const result = parse(text, { VESSEL: 'Ana' });
    expect(result.kind === 'invalid' && result.findings.map(formatFinding)).toEqual([
      'fleet.yaml:3:9: vessel.crew: the environment variable CREW is not set',
      'fleet.yaml:4:12: vessel.secrets: the environment variable KEYS is not set',
    ]);
  });

  it('never appear in a finding', () => {
    // Guards against a secret in a collected log: a finding that quotes the value would write a secret that
    // is rejected at startup, because it is too short or has the wrong form, to the log.
    const result = parse(text, { VESSEL: 'Qx', CREW: 'Qx', KEYS: 'Qx' });
    const lines = result.kind === 'invalid' ? result.findings.map(formatFinding) : [];
    expect(lines.length).toEqual(3);
    expect(lines.join('\n').includes('Qx')).toEqual(false);
  });
});

describe('arbitrary text', () => {
  it('yields settings or findings and never an exception', () => {
    const fragment = fc.constantFrom(
      ...[
        'vessel',
        'name',
        'crew',
        ':',
        ': ',
        '\n',
        '  ',
        '- ',
        '[',
        ']',
        '{',
        '}',
        ',',
        '&a',
        '*a',
      ],
      ...[
        '!!binary',
        '"',
        "'",
        '|',
        '>',
        '#',
        '---',
        '...',
        '\t',
        '?',
        '<<',
        '%YAML',
        '\u0000',
        '.nan',
      ],
      ...['fromFile', 'fromEnvironment', '__proto__', 'constructor', '1e999', '~', 'null', 'Ana'],
    );
    const text = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.array(fragment, { maxLength: 60 }).map((parts) => parts.join('')),
      fc.jsonValue().map((value) => stringify({ vessel: value })),
    );
    const features = [...FEATURES, ...ALL_FEATURES];
    fc.assert(
      fc.property(text, (given) => {
        const result = parseSettings(given, { features, file: FILE, environment: {} });
        const lines = result.kind === 'valid' ? ['valid'] : result.findings.map(formatFinding);
        expect(lines.length > 0).toEqual(true);
        expect(lines.every((line) => line.startsWith(FILE) || line === 'valid')).toEqual(true);
      }),
      { numRuns: 500 },
    );
    const deep = `vessel: ${'['.repeat(20_000)}`;
    expect(parse(deep).kind).toEqual('invalid');
  });
});

/**
 * Which updates of the configuration a daemon applies or refuses, and the validation rules of a configuration.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import {
  accountEdit,
  policyEdit,
  removal,
  serviceEdit,
  versionEdit,
} from '../../standIns/platform/sampleConfiguration.js';
import type { EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import { ConfigurationDecisions } from './ConfigurationDecisions.js';
import { ConfigurationDocument, wholeDocumentUpdate } from './ConfigurationDocument.js';
import { ConfigurationState } from './ConfigurationState.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { moveFindingsToEdits } from './editChecks.js';
import { decodeUpdate, encodeUpdate } from './pullMessages.js';
import { seededRandom } from '../random/seededRandom.js';
import { validateConfiguration } from './validateConfiguration.js';

const states = [1.1, 1.2, 1.3].reduce(
  (made, bound) => [...made, made.at(-1)!.withEdits([policyEdit('warm', bound)])],
  [ConfigurationState.EMPTY],
);
const whole = (revision: number): DocumentUpdate => wholeDocumentUpdate(states[revision]!);

describe('a document', () => {
  // Guards against a withdrawn key that becomes valid again, and against a daemon with half a change. An update
  // arrives that is older, malformed, or does not continue from the local revision. It goes wrong if updates are
  // applied without comparing revision and digest.
  const other = wholeDocumentUpdate(states[1]!.withEdits([policyEdit('other', 2)]));
  const table: readonly (readonly [string, DocumentUpdate, string, number])[] = [
    ['an older whole', whole(1), 'nothing', 2],
    ['the same whole', whole(2), 'nothing', 2],
    ['a newer whole', whole(3), 'applied', 3],
    ['other content at the same revision', other, 'applied', 2],
    ['a whole with a wrong digest', { ...whole(3), digest: 'ff' }, 'differs', 2],
    [
      'changes after a gap',
      { kind: 'changes', revision: 4, digest: '', changes: [{ revision: '4' }] },
      'gap',
      2,
    ],
    [
      'a change whose content is not what its author had',
      { kind: 'changes', revision: 3, digest: 'ff', changes: [{ revision: '3', digest: 'ff' }] },
      'differs',
      2,
    ],
  ];
  for (const [name, answer, result, revision] of table) {
    it(`takes ${name} as "${result}"`, () => {
      const document = new ConfigurationDocument();
      document.apply(whole(2));
      expect(document.apply(answer)).toEqual(result as 'applied');
      expect(document.revision()).toEqual(revision);
    });
  }

  it('survives a malformed answer of a peer and asks for the whole', () => {
    const self = { daemonId: 'a', region: 'r', dataCentre: 'd' };
    const decisions = new ConfigurationDecisions({ self, random: seededRandom(1) });
    const answer = { kind: 'whole', revision: 9, digest: '', whole: 'AAEC' } as const;
    const message = {
      kind: 'pull_answered',
      document: 'configuration',
      from: 'b',
      answer,
    } as const;
    const actions = decisions.decide(0, message);
    expect(actions.map((action) => action.kind === 'report' && action.event)).toEqual([
      'content_differs',
    ]);
  });

  it('travels between daemons unchanged', () => {
    const document = new ConfigurationDocument();
    document.apply(whole(1));
    const change = new ConfigurationDocument();
    change.apply(whole(3));
    for (const answer of [document.updateSince(0), document.updateSince(1), change.updateSince(0)])
      expect(decodeUpdate('configuration', encodeUpdate('configuration', answer))).toEqual(answer);
  });
});

describe('the rules of a configuration', () => {
  const base = ConfigurationState.EMPTY.withEdits([
    policyEdit('reuse', 1.25),
    versionEdit({ name: 'tile-2', model: 'tile', version: '2', adapters: ['prices'] }),
    versionEdit({ name: 'tile-1', model: 'tile', version: '1', state: 'withdrawn' }),
    serviceEdit({ name: 'tile-sales', kind: 'engine', model: 'tile', wantedVersion: '2' }),
    serviceEdit({ name: 'warehouse', kind: 'plain', pathPrefix: '/services/warehouse' }),
    serviceEdit({
      name: 'parcels',
      kind: 'plain',
      pathPrefix: '/services/parcels',
      firm: 'kutiya',
    }),
    accountEdit({ name: 'showroom', services: ['tile-sales'] }),
  ]);

  it('hold for a valid one', () => {
    expect(validateConfiguration(base)).toEqual([]);
  });

  const engine = { name: 'new', kind: 'engine', model: 'new' };
  const table: readonly (readonly [string, readonly EntityEdit[], readonly string[]])[] = [
    [
      'a missing service',
      [accountEdit({ name: 'a', services: ['none'] })],
      ['edits[0].services[0]'],
    ],
    [
      'the other firm',
      [accountEdit({ name: 'a', services: ['parcels'] })],
      ['edits[0].services[0]'],
    ],
    [
      'a key of another account',
      [accountEdit({ name: 'a', keys: [{ keyId: 'showroom-key' }] })],
      ['edits[0].keys[0].salt', 'edits[0].keys[0].digest', 'edits[0].keys[0].keyId'],
    ],
    [
      'a priority',
      [accountEdit({ name: 'a', highestPriority: 'high' })],
      ['edits[0].highestPriority'],
    ],
    ['a name', [accountEdit({ name: 'A b' })], ['edits[0].name']],
    [
      'a missing policy',
      [serviceEdit({ ...engine, routingPolicy: 'x' })],
      ['edits[0].routingPolicy'],
    ],
    ['a model served twice', [serviceEdit({ ...engine, model: 'tile' })], ['edits[0].model']],
    [
      'a withdrawn version',
      [serviceEdit({ name: 'tile-sales', kind: 'engine', model: 'tile', wantedVersion: '1' })],
      ['edits[0].wantedVersion'],
    ],
    [
      'an adapter that the version lacks',
      [
        serviceEdit({
          name: 'tile-sales',
          kind: 'engine',
          model: 'tile',
          wantedVersion: '2',
          wantedAdapters: ['x'],
        }),
      ],
      ['edits[0].wantedAdapters[0]'],
    ],
    [
      'overlapping prefixes',
      [serviceEdit({ name: 'new', kind: 'plain', pathPrefix: '/services/warehouse/old' })],
      ['edits[0].pathPrefix'],
    ],
    [
      'a reserved prefix',
      [serviceEdit({ name: 'new', kind: 'plain', pathPrefix: '/v1/chat' })],
      ['edits[0].pathPrefix'],
    ],
    ['a bound', [policyEdit('x', Number.NaN)], ['edits[0].bound']],
    [
      'a removal that others need, and a second mistake',
      [removal('service', 'tile-sales'), policyEdit('y', 1)],
      ['clientAccounts[showroom].services[0]', 'edits[1].bound'],
    ],
  ];
  for (const [name, edits, fields] of table) {
    it(`find ${name}`, () => {
      const findings = moveFindingsToEdits(validateConfiguration(base.withEdits(edits)), edits);
      expect(findings.map(({ place }) => place.field)).toEqual([...fields]);
    });
  }
});

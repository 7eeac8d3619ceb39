import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { formatFinding } from '../findings/Findings.js';
import { ResourceFile } from './ResourceFile.js';

const GOOD = `
clientAccounts:
  - name: showroom-1
    firm: litoral
    services: [sales, warehouse]
    weight: 3
routingPolicies:
  - name: reuse
    bound: 1.3
    moveCache: true
`;

const BAD = `clientAccounts:
  - name: showroom-1
    wieght: 3
    weight: -1
  - firm: litoral
  - name: 7
    keys: []
    services: [sales, 4]
services: none
servics: []
`;

describe(ResourceFile.name, () => {
  it('reads resources and finds the place of a field that a daemon names', () => {
    const file = new ResourceFile(GOOD, 'fleet.yaml');
    expect(file.findings()).toEqual([]);
    expect(file.resources.map(({ resource }) => resource.value?.name)).toEqual([
      'showroom-1',
      'reuse',
    ]);
    const places = [
      'resources[0].clientAccount.services[1]',
      'resources[1].routingPolicy.bound',
      'resources[1].routingPolicy.overflow',
    ].map((field) => formatFinding({ place: file.placeOfRequestField(field), message: 'x' }));
    expect(places).toEqual([
      'fleet.yaml:5:23: clientAccounts[0].services[1]: x',
      'fleet.yaml:9:12: routingPolicies[0].bound: x',
      'fleet.yaml:8:5: routingPolicies[0].overflow: x',
    ]);
  });

  it('reports all mistakes at once, each at its line and column', () => {
    const lines = new ResourceFile(BAD, 'f').findings().map(formatFinding);
    expect(lines.map((line) => line.split(': ').slice(0, 2).join(' '))).toEqual([
      'f:3:5 clientAccounts[0].wieght',
      'f:4:13 clientAccounts[0].weight',
      'f:5:5 clientAccounts[1]',
      'f:6:11 clientAccounts[2].name',
      'f:7:5 clientAccounts[2].keys',
      'f:8:23 clientAccounts[2].services[1]',
      'f:6:5 clientAccounts[2]',
      'f:9:11 services',
      'f:10:1 servics',
    ]);
  });

  it('parses any text into resources or findings and never throws', () => {
    const word = fc.constantFrom(
      'clientAccounts',
      'services',
      'name',
      'a',
      '7',
      '[',
      ']',
      '{',
      '}',
    );
    const glue = fc.constantFrom(': ', '\n', '\n  - ', '\n    ', ', ', '"', '&a ', '*a', '#', '\t');
    const text = fc.array(fc.oneof(word, glue), { maxLength: 30 }).map((parts) => parts.join(''));
    fc.assert(
      fc.property(fc.oneof(text, fc.string()), (content) => {
        const file = new ResourceFile(content, 'f');
        expect(file.findings().length + file.resources.length).toBeGreaterThanOrEqual(0);
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});

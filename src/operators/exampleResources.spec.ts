import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { ConfigurationState } from '../configuration/ConfigurationState.js';
import { validateConfiguration } from '../configuration/validateConfiguration.js';
import { EntityEditSchema } from '../generated/baobabdock/v1/changes_pb.js';
import { ResourceFile } from './ResourceFile.js';
import { entityOf } from './resourceKinds.js';

const FILES = ['litoral', 'kutiya-punkt'].map((firm) => `examples/${firm}-resources.yaml`);

function editsOf(file: string) {
  const parsed = new ResourceFile(readFileSync(file, 'utf8'), file);
  expect(parsed.findings()).toEqual([]);
  return parsed.resources.flatMap(({ resource }) =>
    resource.case === undefined
      ? []
      : create(EntityEditSchema, { edit: { case: 'upsert', value: entityOf(resource) } }),
  );
}

describe('example resources', () => {
  it('are valid, each alone and both firms together', () => {
    for (const files of [...FILES.map((file) => [file]), FILES]) {
      const state = ConfigurationState.EMPTY.withEdits(files.flatMap(editsOf));
      expect(validateConfiguration(state)).toEqual([]);
    }
  });

  it('have the expected numbers of accounts and services, and one policy for reuse and one for an even load', () => {
    const state = ConfigurationState.EMPTY.withEdits(FILES.flatMap(editsOf));
    const { clientAccounts, services, routingPolicies } = state.configuration();
    const firms = ['litoral', 'kutiya-punkt'];
    const accounts = firms.map((firm) => clientAccounts.filter((each) => each.firm === firm));
    expect(accounts.map(({ length }) => length)).toEqual([10, 10]);
    const kinds = services.map(({ firm, kind }) => `${firm} ${kind}`).sort();
    expect(kinds).toEqual([
      'kutiya-punkt engine',
      'kutiya-punkt plain',
      'litoral engine',
      'litoral plain',
    ]);
    const policy = (name: string) => routingPolicies.find((each) => each.name === name)!;
    const [reuse, skew] = [policy('litoral-reuse'), policy('kutiya-punkt-skew')];
    expect(reuse.reuseWeight > skew.reuseWeight && reuse.bound > skew.bound).toEqual(true);
  });
});

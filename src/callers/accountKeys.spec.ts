import { expect } from 'earl';
import { describe, it } from 'node:test';

import { accountNameOfKey, createKey, verifyKey } from './accountKeys.js';

describe('accountKeys', () => {
  const first = createKey('litoral.showroom');
  const second = createKey('litoral.showroom');
  const stored = [first.stored, second.stored];

  it('finds each of several keys and tells which', () => {
    expect(verifyKey(stored, first.key)).toEqual(first.stored.keyId);
    expect(verifyKey(stored, second.key)).toEqual(second.stored.keyId);
  });

  const refused = [
    { name: 'a key of another account', keys: [createKey('punkt').stored], key: first.key },
    { name: 'a removed key', keys: [second.stored], key: first.key },
    { name: 'no keys', keys: [], key: first.key },
    { name: 'an unknown account', keys: undefined, key: first.key },
    { name: 'a digest of another length', keys: [{ ...first.stored, digest: new Uint8Array(3) }] },
    { name: 'a changed key', keys: stored, key: `${first.key}A` },
  ];
  for (const { name, keys, key = first.key } of refused) {
    it(`refuses ${name}`, () => {
      expect(verifyKey(keys, key)).toEqual(undefined);
    });
  }

  it('reads the account out of a key, dots included', () => {
    expect(accountNameOfKey(first.key)).toEqual('litoral.showroom');
    for (const key of ['', '.', 'account', 'account.', '.secret', `a.${'b'.repeat(600)}`]) {
      expect(accountNameOfKey(key)).toEqual(undefined);
    }
  });
});

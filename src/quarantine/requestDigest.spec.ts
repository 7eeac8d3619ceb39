import { describe, it } from 'node:test';

import { expect } from 'earl';

import { requestDigest } from './requestDigest.js';

const REQUEST = {
  method: 'POST',
  target: '/chat/1?a=b',
  clientAccount: 'account-1',
  body: Buffer.from('hello'),
};

describe(requestDigest.name, () => {
  it('is the same for each arrival of a request', () => {
    const again = { ...REQUEST, body: Buffer.from('hello') };
    expect(requestDigest(again)).toEqual(requestDigest(REQUEST));
  });

  it('differs for requests that differ in any compared part', () => {
    const others = [
      { ...REQUEST, method: 'PUT' },
      { ...REQUEST, target: '/chat/1?a=c' },
      { ...REQUEST, clientAccount: 'account-2' },
      { ...REQUEST, clientAccount: undefined },
      { ...REQUEST, body: Buffer.from('hell') },
      { ...REQUEST, body: undefined },
    ];
    const digests = new Set([REQUEST, ...others].map((request) => requestDigest(request)));
    expect(digests.size).toEqual(others.length + 1);
  });
});

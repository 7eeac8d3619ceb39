import { describe, it } from 'node:test';

import { expect } from 'earl';

import { addressesFor } from './DirectoryDecisions.js';

function daemonOf(name: string, dataCentre: string) {
  const port = name.charCodeAt(0);
  const address = `10.0.0.1:${port}`;
  return { name, dataCentre, callerAddress: address, peerAddress: address, newsAddress: address };
}

describe('addressesFor', () => {
  const daemons = [daemonOf('a', 'north'), daemonOf('b', 'south')];

  it('gives all daemons, those of the caller’s data centre first', () => {
    const question = { daemons, own: daemonOf('c', 'south'), dataCentre: 'south' };
    expect(addressesFor(question)).toEqual(['10.0.0.1:99', '10.0.0.1:98', '10.0.0.1:97']);
  });

  it('gives this daemon once, and not when it stops', () => {
    const own = daemonOf('a', 'north');
    expect(addressesFor({ daemons, own, dataCentre: undefined }).length).toEqual(2);
    const others = daemons.slice(1);
    expect(addressesFor({ daemons: others, own: undefined, dataCentre: 'north' })).toEqual([
      '10.0.0.1:98',
    ]);
  });
});

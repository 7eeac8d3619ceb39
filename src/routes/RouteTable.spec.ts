import { describe, it } from 'node:test';

import { expect } from 'earl';

import { digestKey, RouteTable } from './RouteTable.js';
import type { Route } from './routeTypes.js';

function routeOf(name: string, pathPrefix: string): Route {
  return {
    name,
    host: 'site.example',
    pathPrefix,
    kind: 'idempotent',
    resumable: false,
    timeoutMilliseconds: 1_000,
    targetLatencyMilliseconds: 100,
    priority: 0,
    maximumAttempts: 1,
    anonymous: false,
    cachesPrompts: false,
    targets: [
      { service: 'old', weight: 90 },
      { service: 'new', weight: 10 },
    ],
  };
}

const TABLE = new RouteTable({
  configuration: {
    version: 1,
    routes: [routeOf('all', '/'), routeOf('outer', '/a/'), routeOf('inner', '/a/b/')],
    services: [{ name: 'old', maximumConnections: 10 }],
    clientAccounts: [{ name: 'account', keyDigests: [digestKey('key')] }],
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  },
});

describe('RouteTable', () => {
  it('matches the longest path prefix', () => {
    const names = ['/', '/x', '/a', '/a/', '/a/x', '/a/b', '/a/b/', '/a/b/c/d'].map(
      (path) => TABLE.routeOf('site.example', path)?.name,
    );
    expect(names).toEqual(['all', 'all', 'all', 'outer', 'outer', 'outer', 'inner', 'inner']);
    expect(TABLE.routeOf('other.example', '/a/')).toEqual(undefined);
  });

  it('finds an account only by one of its keys', () => {
    expect(TABLE.accountOf('key')?.name).toEqual('account');
    expect(TABLE.accountOf('kez')).toEqual(undefined);
    expect(TABLE.accountOf('')).toEqual(undefined);
  });

  it('splits requests by weight, and always gives a request the same service', () => {
    const route = routeOf('split', '/');
    const ids = Array.from({ length: 2_000 }, (_, index) => `request-${index}`);
    const services = ids.map((id) => RouteTable.targetOf(route, id));
    const share = services.filter((service) => service === 'new').length / ids.length;
    expect(share).toBeGreaterThan(0.07);
    expect(share).toBeLessThan(0.13);
    expect(ids.map((id) => RouteTable.targetOf(route, id))).toEqual(services);
  });
});

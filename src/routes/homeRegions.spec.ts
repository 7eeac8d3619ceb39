import { describe, it } from 'node:test';

import { expect } from 'earl';

import { homeRegionsOf } from './homeRegions.js';
import { RouteTable } from './RouteTable.js';
import type { Route, RoutingConfiguration } from './routeTypes.js';

function routeOf(pathPrefix: string, homeRegions?: readonly string[]): Route {
  return {
    ...{ name: pathPrefix, host: 'a.example', pathPrefix, kind: 'idempotent', resumable: false },
    ...{ timeoutMilliseconds: 1, targetLatencyMilliseconds: 1, priority: 1, maximumAttempts: 1 },
    ...{ anonymous: true, cachesPrompts: false, targets: [], homeRegions },
  };
}

function tableOf(...routes: Route[]): RouteTable {
  const limits = {} as RoutingConfiguration['limits'];
  return new RouteTable({ configuration: { version: 1, routes, services: [], limits } });
}

describe('home regions of a request', () => {
  const account = { name: 'account', keyDigests: [] };

  it('are unrestricted if neither the route nor the client account has any', () => {
    expect(homeRegionsOf(routeOf('/a/'), undefined)).toEqual(undefined);
    expect(homeRegionsOf(routeOf('/a/'), account)).toEqual(undefined);
  });

  it('are those that both the route and the client account allow', () => {
    const route = routeOf('/a/', ['north', 'south']);
    expect(homeRegionsOf(route, account)).toEqual(['north', 'south']);
    expect(homeRegionsOf(route, { ...account, homeRegions: ['south', 'west'] })).toEqual(['south']);
    expect(homeRegionsOf(routeOf('/a/'), { ...account, homeRegions: ['west'] })).toEqual(['west']);
    expect(homeRegionsOf(route, { ...account, homeRegions: ['west'] })).toEqual([]);
  });
});

describe('home regions of a host', () => {
  it('are those that all its routes with home regions have in common', () => {
    const table = tableOf(
      routeOf('/a/', ['north', 'south']),
      routeOf('/b/'),
      routeOf('/c/', ['south', 'west']),
    );
    expect(table.homeRegionsOfHost('A.example')).toEqual(['south']);
    expect(table.homeRegionsOfHost('b.example')).toEqual(undefined);
    expect(tableOf(routeOf('/b/')).homeRegionsOfHost('a.example')).toEqual(undefined);
  });
});

/**
 * Look-up tables for one version of the configuration. They are built once per version, so that a request costs a few map
 * look-ups, however many routes there are.
 */
import { createHash } from 'node:crypto';

import murmurhash from 'murmurhash';

import { intersectHomeRegions } from './homeRegions.js';
import type { HomeRegions } from './homeRegions.js';
import type {
  ClientAccount,
  Route,
  RouteTarget,
  RoutingConfiguration,
  Service,
} from './routeTypes.js';

/** Options of a {@link RouteTable}. */
export interface RouteTableOptions {
  configuration: RoutingConfiguration;
}

/**
 * Digests an API key, for storing and for look-ups. Looking up the digest is safe from timing attacks: a caller that does
 * not know a key cannot choose a digest close to that of the key.
 *
 * @param key - the key as the caller sent it.
 * @returns The SHA-256 digest in base64.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

function indexRoutes(routes: readonly Route[]): Map<string, Map<string, Route>> {
  const byHost = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const prefixes = byHost.get(route.host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    byHost.set(route.host, prefixes);
  }
  return byHost;
}

/** Finds routes, services and client accounts in one version of the configuration. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;

  private readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  private readonly accounts = new Map<string, ClientAccount>();

  private readonly services: ReadonlyMap<string, Service>;

  /**
   * @param options - the configuration to index.
   */
  constructor({ configuration }: RouteTableOptions) {
    this.configuration = configuration;
    this.routes = indexRoutes(configuration.routes);
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const account of configuration.clientAccounts ?? []) {
      for (const digest of account.keyDigests) this.accounts.set(digest, account);
    }
  }

  /** @returns Whether requests to routes that are not anonymous need an API key. */
  get requiresKeys(): boolean {
    return this.configuration.clientAccounts !== undefined;
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param host - the host name in lower case, without a port.
   * @param path - the path without the query.
   * @returns The route, or `undefined` when none matches.
   */
  routeOf(host: string, path: string): Route | undefined {
    const prefixes = this.routes.get(host);
    if (!prefixes) return undefined;
    for (let slash = path.lastIndexOf('/'); slash >= 0;) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route) return route;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  /**
   * Finds the home regions of a host. Callers ask the directory by host, before it is known which route a request takes.
   *
   * @param host - the host name without a port.
   * @returns The home regions that all routes of the host with home regions have in common; `undefined` if no route has any.
   */
  homeRegionsOfHost(host: string): HomeRegions {
    const routes = [...(this.routes.get(host.toLowerCase())?.values() ?? [])];
    return routes.reduce<HomeRegions>(
      (homes, route) => intersectHomeRegions(homes, route.homeRegions),
      undefined,
    );
  }

  /**
   * @param key - the API key as the caller sent it.
   * @returns The client account with this key, or `undefined`.
   */
  accountOf(key: string): ClientAccount | undefined {
    return this.accounts.get(digestKey(key));
  }

  /**
   * @param name - the name of a service.
   * @returns Settings of the service, or `undefined`.
   */
  serviceOf(name: string): Service | undefined {
    return this.services.get(name);
  }

  /**
   * Picks the service for a request by the weights of its route's targets; the same id always gets the same service.
   *
   * @param route - the route of the request.
   * @param requestId - id of the caller's attempt.
   * @returns Name of the service, or an empty text if the route has no targets.
   */
  static targetOf({ targets }: Route, requestId: string): string {
    const [first] = targets;
    if (targets.length <= 1) return first?.service ?? '';
    const total = targets.reduce((sum, { weight }) => sum + weight, 0);
    let point = (murmurhash.v3(requestId) / 2 ** 32) * total;
    const chosen = targets.find(({ weight }: RouteTarget) => {
      point -= weight;
      return point < 0;
    });
    return (chosen ?? first)?.service ?? '';
  }
}

/**
 * Look-ups in one version of the configuration. Made once a version, so that a request costs a few look-ups
 * in maps however many routes there are.
 */
import { createHash } from 'node:crypto';

import murmurhash from 'murmurhash';

import { commonHomes } from './homes.js';
import type { HomeRegions } from './homes.js';
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
 * Digests a key for storing and for looking it up. A look-up by the digest tells nothing by its time: who
 * does not know the key cannot choose the digest.
 *
 * @param key - what the caller sent.
 * @returns SHA-256, base64.
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

/** Answers what one version of the configuration says. */
export class RouteTable {
  readonly configuration: RoutingConfiguration;

  private readonly routes: ReadonlyMap<string, ReadonlyMap<string, Route>>;

  private readonly accounts = new Map<string, ClientAccount>();

  private readonly services: ReadonlyMap<string, Service>;

  /**
   * @param options - the configuration.
   */
  constructor({ configuration }: RouteTableOptions) {
    this.configuration = configuration;
    this.routes = indexRoutes(configuration.routes);
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const account of configuration.clientAccounts ?? []) {
      for (const digest of account.keyDigests) this.accounts.set(digest, account);
    }
  }

  /** @returns Whether requests need keys, but for those of anonymous routes. */
  get requiresKeys(): boolean {
    return this.configuration.clientAccounts !== undefined;
  }

  /**
   * Finds the route with the longest prefix that begins the path.
   *
   * @param host - name of the host without a port.
   * @param path - path without the query.
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
   * Callers learn addresses by host, before it is known which route a request takes.
   *
   * @param host - name of the host without a port.
   * @returns Regions that are a home of all its routes that have homes.
   */
  homesOfHost(host: string): HomeRegions {
    const routes = [...(this.routes.get(host.toLowerCase())?.values() ?? [])];
    return routes.reduce<HomeRegions>(
      (homes, route) => commonHomes(homes, route.homeRegions),
      undefined,
    );
  }

  /**
   * @param key - what the caller sent.
   * @returns The account that holds the key.
   */
  accountOf(key: string): ClientAccount | undefined {
    return this.accounts.get(digestKey(key));
  }

  /**
   * @param name - name of a service.
   * @returns Its settings.
   */
  serviceOf(name: string): Service | undefined {
    return this.services.get(name);
  }

  /**
   * Splits a route's requests by weight; the same request always gets the same service.
   *
   * @param route - a route of this table.
   * @param requestId - the attempt's id.
   * @returns Name of the service.
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

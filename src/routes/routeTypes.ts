/**
 * What operators configure for direct forwarding: routes, services, client accounts and limits, as decoded
 * once from wherever the configuration is kept.
 */

/** What may be repeated follows from this alone, never from a method or a path. */
export type CallKind = 'idempotent' | 'at_most_once' | 'stream';

/** A service that gets a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets of the route, above zero. */
  readonly weight: number;
}

/** Which requests go where, and what may be done with them. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Whether a stream may go on at another runner after its last event. */
  readonly resumable: boolean;
  /** Longest time that a caller is kept waiting for the end of its answer, in ms. */
  readonly timeoutMilliseconds: number;
  /** Until the answer, or a stream's first event, in ms. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Runners that may run one attempt of a caller, one after the other. */
  readonly maximumAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
  /** Whether requests name the parts of a prompt that runners may have cached. */
  readonly cachesPrompts: boolean;
  readonly targets: readonly RouteTarget[];
  /** Regions whose runners may run its requests; missing where all may. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** A pool of runners of one kind. */
export interface Service {
  readonly name: string;
  /** Connections that one runner accepts from all daemons together. */
  readonly maximumConnections: number;
  /** Requests a second that a runner bears for some seconds after its start; missing where its runners need no care. */
  readonly coldRequestsPerSecond?: number;
}

/** A client account; its keys are known by their digests only. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of each key, base64. */
  readonly keyDigests: readonly string[];
  /** Goes before the route's. */
  readonly priority?: number | undefined;
  /** Regions whose runners may run its requests; binds beside the route's. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One accepted version of the whole configuration. */
export interface RoutingConfiguration {
  /** Grows with each version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Missing where requests need no keys at all. */
  readonly clientAccounts?: readonly ClientAccount[] | undefined;
  readonly limits: CallerLimits;
}

/**
 * Types of the operators' configuration for direct forwarding: routes, services, client accounts and limits. An adapter
 * decodes them from the store.
 */

/**
 * How a call may be handled. Whether a request may be repeated depends on this alone, never on its method or path: an
 * `idempotent` request may, an `at_most_once` request that may have run must not, and a `stream` is answered by events.
 */
export type CallKind = 'idempotent' | 'at_most_once' | 'stream';

/** A service that gets a part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the other targets of the route, above 0. */
  readonly weight: number;
}

/** Maps requests by host and path prefix to services, and sets how they are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Whether a stream that breaks may be resumed by another runner after its last event. */
  readonly resumable: boolean;
  /** Longest time until the end of the answer, in ms. */
  readonly timeoutMilliseconds: number;
  /** Target for the time until the answer, or until the first event of a stream, in ms. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of runners, the first included, to which one attempt of a caller may be sent, one after the other. */
  readonly maximumAttempts: number;
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
  /** Whether requests name the parts of their prompts, which runners may have cached. */
  readonly cachesPrompts: boolean;
  readonly targets: readonly RouteTarget[];
  /** Regions whose runners may run requests of the route; missing if all may. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** A pool of runners that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that one runner accepts from all daemons together. */
  readonly maximumConnections: number;
  /**
   * Requests per second that a cold runner can bear, as each is for some seconds after its start; missing if cold runners
   * need no limit.
   */
  readonly coldRequestsPerSecond?: number;
  /** Memory of each runner for running requests and cached prompts, in tokens; missing for runners without models. */
  readonly memoryTokens?: number;
}

/** A client account. Its API keys are kept only as digests. */
export interface ClientAccount {
  readonly name: string;
  /** SHA-256 digest of each API key, in base64. */
  readonly keyDigests: readonly string[];
  /** Priority of the account's requests; overrides that of the route. */
  readonly priority?: number | undefined;
  /** Regions whose runners may run requests of the account; applies together with those of the route. */
  readonly homeRegions?: readonly string[] | undefined;
}

/** Limits on the size of a caller's request, and on the time that the caller may take to send it. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One valid version of the whole configuration. */
export interface RoutingConfiguration {
  /** Increases with each version, not always by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Missing if no request needs an API key. */
  readonly clientAccounts?: readonly ClientAccount[] | undefined;
  readonly limits: CallerLimits;
}

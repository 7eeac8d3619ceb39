/**
 * Base class of the request handlers, one for each route.
 */
import type { Exchange } from './Exchange.js';

/** Handles the requests of one route. */
export abstract class CallerRoute {
  /** Name of the route in logs and metrics. */
  abstract readonly name: string;

  /** Whether the route can be called without a client account's key. */
  readonly open: boolean = false;

  /** Whether the route stays available while the daemon drains, because it starts no new work. */
  readonly availableWhileDraining: boolean = false;

  /** Whether requests on this route refer to an earlier request, which may have run. */
  readonly refersToEarlierRequest: boolean = false;

  /**
   * Answers one request.
   *
   * @param exchange - the request; it is authenticated unless the route needs no key.
   * @throws `CallerError` for an error to send to the caller, `CallerDisconnected` when the connection ended.
   */
  abstract answer(exchange: Exchange): Promise<void>;
}

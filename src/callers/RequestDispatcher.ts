/**
 * Checks a request, passes it to its route, and ensures that it gets exactly one answer.
 */
import type { AccountAuthentication } from './AccountAuthentication.js';
import type { CallerErrorOptions } from './CallerError.js';
import { CallerError } from './CallerError.js';
import { CallerDisconnected } from './CallerDisconnected.js';
import type { CallerRoute } from './CallerRoute.js';
import { CALLER_EVENTS } from './callersFeature.js';
import type { Exchange } from './Exchange.js';
import type { RouteName } from './matchRoute.js';
import { matchRoute } from './matchRoute.js';

const METHOD_NOT_ALLOWED = 405;
const HEADERS_TOO_LARGE = 431;

/** Creates an error that also closes the connection: after a malformed request the start of the next is uncertain. */
function malformedRequestError(options: CallerErrorOptions): CallerError {
  return new CallerError({ ...options, headers: { connection: 'close' } });
}

/** Options of a {@link RequestDispatcher}. */
export interface RequestDispatcherOptions {
  routes: Readonly<Record<RouteName, CallerRoute>>;
  authentication: AccountAuthentication;
  /** Returns whether the number of requests in progress is within the limit. */
  hasCapacity: () => boolean;
}

/** Runs the checks in a fixed order (route, drain, authentication, load) and then the route. */
export class RequestDispatcher {
  private readonly routes: Readonly<Record<RouteName, CallerRoute>>;

  private readonly authentication: AccountAuthentication;

  private readonly hasCapacity: () => boolean;

  /**
   * @param options - the routes, the authentication and the load check.
   */
  constructor({ routes, authentication, hasCapacity }: RequestDispatcherOptions) {
    this.routes = routes;
    this.authentication = authentication;
    this.hasCapacity = hasCapacity;
  }

  /**
   * Answers one exchange; never throws.
   *
   * @param exchange - the request to answer.
   * @param excessConnection - whether its connection is above the connection limit.
   */
  async dispatch(exchange: Exchange, excessConnection: boolean): Promise<void> {
    try {
      const route = this.findRoute(exchange);
      exchange.note({ route: route.name });
      if (route.refersToEarlierRequest) exchange.markMayHaveRun();
      this.checkAdmission(exchange, route, excessConnection);
      await route.answer(exchange);
    } catch (error) {
      await this.answerError(exchange, error);
    }
  }

  private findRoute(exchange: Exchange): CallerRoute {
    const { url, request, context } = exchange;
    if (request.rawHeaders.length / 2 > context.settings.maximumHeaderCount) {
      throw malformedRequestError({
        code: 'request_too_large',
        status: HEADERS_TOO_LARGE,
        message: `more than ${context.settings.maximumHeaderCount} headers`,
      });
    }
    if (request.httpVersion === '1.1' && request.headers.host === undefined) {
      throw malformedRequestError({
        code: 'invalid_request',
        message: 'the header host is missing',
      });
    }
    if (!url) {
      throw malformedRequestError({
        code: 'invalid_request',
        message: 'the request target is no path',
      });
    }
    const found = matchRoute(exchange.method, url.pathname);
    if (typeof found === 'string') return this.routes[found];
    throw new CallerError({
      code: 'invalid_request',
      status: METHOD_NOT_ALLOWED,
      message: `this path takes ${found.allowed.join(', ')}`,
      headers: { allow: found.allowed.join(', ') },
    });
  }

  private checkAdmission(exchange: Exchange, route: CallerRoute, excessConnection: boolean): void {
    if (route.open) return;
    const { settings, isDraining } = exchange.context;
    // A request with a binding is still accepted: only this daemon knows whether it ran, and "draining" would hide that.
    if (isDraining() && !route.availableWhileDraining && !exchange.bound) {
      throw new CallerError({
        code: 'draining',
        message: 'this daemon is about to stop; locate another',
        retryAfterMilliseconds: settings.drainRetryAfterMilliseconds,
      });
    }
    const { authorization } = exchange.request.headers;
    exchange.setClientAccount(this.authentication.authenticate(authorization));
    if (this.hasCapacity() && !excessConnection) return;
    throw new CallerError({
      code: 'overloaded',
      message: 'this daemon has as many requests or connections as it may',
      retryAfterMilliseconds: settings.overloadRetryAfterMilliseconds,
    });
  }

  private async answerError(exchange: Exchange, error: unknown): Promise<void> {
    if (error instanceof CallerDisconnected) return;
    const known = error instanceof CallerError;
    const callerError = known ? error : this.internalError(exchange, error);
    try {
      await exchange.sendError(callerError);
    } catch (failure) {
      if (!(failure instanceof CallerDisconnected)) this.internalError(exchange, failure);
      exchange.writer.closeConnection();
    }
  }

  /** Error for a bug in this program. It may occur after the request was sent on, so it does not claim "not run". */
  private internalError(exchange: Exchange, thrown: unknown): CallerError {
    const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
    exchange.context.log.write(CALLER_EVENTS.internal, {
      requestId: exchange.requestId,
      route: exchange.notes.route,
      error: cause.stack ?? cause.message,
    });
    return new CallerError({
      code: 'internal',
      message: 'the router failed; its log has the request id',
      notRun: false,
      cause,
    });
  }
}

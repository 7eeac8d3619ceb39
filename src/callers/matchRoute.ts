/**
 * Matches the method and path of a request to a route.
 */

/** Path of the list of models; the path of one model adds a slash and its id. */
export const MODELS_PATH = '/v1/models';

/** Prefix of the path that cancels a request; the id of the request follows. */
export const REQUESTS_PREFIX = '/v1/requests/';

/** Names of the routes. */
export type RouteName =
  | 'chat_completions'
  | 'models'
  | 'streams'
  | 'cancel'
  | 'locate'
  | 'binding'
  | 'health'
  | 'metrics'
  | 'plain';

interface RoutePattern {
  readonly name: RouteName;
  readonly methods: readonly string[];
  readonly matches: (pathname: string) => boolean;
}

/** Result for a known path that does not support the method of the request. */
export interface MethodNotAllowed {
  readonly allowed: readonly string[];
}

const equalsPath =
  (path: string) =>
  (pathname: string): boolean =>
    pathname === path;

const READ_METHODS = ['GET', 'HEAD'];

const ROUTE_PATTERNS: readonly RoutePattern[] = [
  { name: 'chat_completions', methods: ['POST'], matches: equalsPath('/v1/chat/completions') },
  {
    name: 'models',
    methods: READ_METHODS,
    matches: (path) => path === MODELS_PATH || path.startsWith(`${MODELS_PATH}/`),
  },
  { name: 'streams', methods: ['GET', 'POST'], matches: equalsPath('/v1/streams') },
  {
    name: 'cancel',
    methods: ['DELETE'],
    matches: (path) => path.startsWith(REQUESTS_PREFIX) && path.length > REQUESTS_PREFIX.length,
  },
  { name: 'locate', methods: READ_METHODS, matches: equalsPath('/locate') },
  { name: 'binding', methods: ['POST'], matches: equalsPath('/locate/binding') },
  { name: 'health', methods: READ_METHODS, matches: equalsPath('/health') },
  { name: 'metrics', methods: READ_METHODS, matches: equalsPath('/metrics') },
];

/**
 * Finds the route of a request. Any path that is not a fixed path of this interface belongs to a plain service.
 *
 * @param method - the HTTP method, in upper case.
 * @param pathname - the path without the query.
 * @returns The name of the route, or the allowed methods when the path does not support this one.
 */
export function matchRoute(method: string, pathname: string): RouteName | MethodNotAllowed {
  const pattern = ROUTE_PATTERNS.find(({ matches }) => matches(pathname));
  if (!pattern) return 'plain';
  return pattern.methods.includes(method) ? pattern.name : { allowed: pattern.methods };
}

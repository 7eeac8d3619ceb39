/**
 * Checks a request's head against the configuration in force.
 */
import type { IncomingMessage } from 'node:http';

import { homesOf } from '../routes/homes.js';
import { RouteTable } from '../routes/RouteTable.js';
import type { ClientAccount, Route } from '../routes/routeTypes.js';
import type { OwnAnswer } from './AnswerRelay.js';
import { passingHeaders } from './forwardedHeaders.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';

/** A request that goes on, or the answer that ends it. */
export type Admission =
  | { readonly kind: 'admitted'; readonly request: AdmittedRequest }
  | { readonly kind: 'rejected'; readonly own: OwnAnswer };

/** Part of a runner's connections that is used; other daemons may be thought fewer than they are. */
const CONNECTION_SHARE = 0.8;

/** A daemon of a large fleet still needs a few at once. */
const MINIMUM_CONNECTIONS = 4;

/** Without a word of the service any number would do. */
const DEFAULT_CONNECTIONS = 64;

/** A first configuration takes a few ms where the store answers; in seconds. */
const CONFIGURATION_RETRY_SECONDS = 0.1;

/**
 * Outages of the store last seconds. Callers come back once, at most after a third of the time they have; the
 * later they do, the likelier they are served.
 */
const OUTAGE_RETRY_SECONDS = 1.5;

/** Another daemon can take the request at once. */
const STOPPING_RETRY_SECONDS = 0.02;

/** No region is a home of both the route and the client account, until operators change the configuration. */
const HOMELESS_RETRY_SECONDS = 1.5;

const HIGHEST_URGENCY_RANK = 9;

let unnamedRequests = 0;

function rejected(status: number, reason: string, retryAfterSeconds?: number): Admission {
  return { kind: 'rejected', own: { status, reason, retryAfterSeconds } };
}

function headOf(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function headerBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function connectionLimit(table: RouteTable, service: string, daemons: number): number {
  const maximum = table.serviceOf(service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
  return Math.max(MINIMUM_CONNECTIONS, Math.floor((maximum * CONNECTION_SHARE) / daemons));
}

/** Headers that do not pass, and those that pass whatever `Connection` says; made once a protocol. */
function headerSets({ protocol }: ForwardingContext) {
  const { names } = protocol;
  const dropped = new Set([
    ...names.systemOnly,
    names.key,
    names.clientAccount,
    names.deadline,
    names.expectedRunner,
    names.urgency,
    names.cacheSource,
    'host',
  ]);
  return { dropped, essential: new Set([names.requestId, names.lastEventId]) };
}

const setsOf = new WeakMap<object, ReturnType<typeof headerSets>>();

function keptHeaderSets(context: ForwardingContext) {
  const known = setsOf.get(context.protocol);
  if (known) return known;
  const made = headerSets(context);
  setsOf.set(context.protocol, made);
  return made;
}

function runnerHeaders(
  request: IncomingMessage,
  context: ForwardingContext,
  route: Route,
  account: ClientAccount | undefined,
): string[] {
  const { names } = context.protocol;
  const { dropped, essential } = keptHeaderSets(context);
  const headers = ['Host', request.headers.host ?? ''];
  headers.push(...passingHeaders(request.rawHeaders, dropped, essential));
  if (account) headers.push(names.clientAccount, account.name);
  if (route.kind === 'stream') {
    const rank = Math.min(HIGHEST_URGENCY_RANK, account?.priority ?? route.priority);
    headers.push(names.urgency, String(rank));
  }
  return headers;
}

/**
 * @param request - a request whose head has been read.
 * @param context - of the daemon.
 * @param arrivedAt - when it came, monotonic ms.
 * @returns The request with all that its way needs, or the answer that ends it.
 */
export function admitRequest(
  request: IncomingMessage,
  context: ForwardingContext,
  arrivedAt: number = context.clock.monotonicMilliseconds(),
): Admission {
  const table = context.routes();
  if (!table) {
    const isOutage = context.isStoreSilent();
    const wait = isOutage ? OUTAGE_RETRY_SECONDS : CONFIGURATION_RETRY_SECONDS;
    return rejected(503, 'no_configuration', wait);
  }
  if (context.stopPhase() === 'closing') return rejected(503, 'stopping', STOPPING_RETRY_SECONDS);
  const { names } = context.protocol;
  const { headers, url = '/', method = 'GET' } = request;
  const { limits } = table.configuration;
  if (headerBytes(request.rawHeaders) > limits.maximumHeaderBytes) {
    return rejected(431, 'headers_too_large');
  }
  if (Number(headers['content-length'] ?? 0) > limits.maximumBodyBytes) {
    return rejected(413, 'body_too_large');
  }
  const [path = '/'] = url.split('?', 1);
  const [host = ''] = (headers.host ?? '').split(':', 1);
  const route = table.routeOf(host.toLowerCase(), path);
  if (!route) return rejected(404, 'no_route');
  const account = table.accountOf(headOf(headers[names.key]) ?? '');
  if (table.requiresKeys && !route.anonymous && !account) return rejected(401, 'unknown_key');
  const homeRegions = homesOf(route, account);
  if (homeRegions?.length === 0) return rejected(503, 'no_common_home', HOMELESS_RETRY_SECONDS);
  const deadline = Number.parseFloat(headOf(headers[names.deadline]) ?? '');
  const patience = deadline > 0 ? deadline : Number.POSITIVE_INFINITY;
  const ownId = headOf(headers[names.requestId]);
  unnamedRequests += ownId === undefined ? 1 : 0;
  const id = ownId ?? `unnamed-${unnamedRequests}`;
  const service = RouteTable.targetOf(route, id);
  return {
    kind: 'admitted',
    request: {
      id,
      hasOwnId: ownId !== undefined,
      route,
      service,
      clientAccount: account?.name,
      homeRegions,
      configurationVersion: table.configuration.version,
      method,
      target: url,
      headers: runnerHeaders(request, context, route, account),
      sharedParts: route.cachesPrompts ? context.protocol.sharedPartsOf(headers) : [],
      arrivedAt,
      deadlineAt: arrivedAt + Math.min(patience, route.timeoutMilliseconds),
      connectionLimit: connectionLimit(table, service, Math.max(1, context.daemons())),
    },
  };
}

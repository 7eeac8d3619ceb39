/**
 * Admission of requests: checks a request's head against the configuration in force.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import { segmentIds, segmentParts } from '../prompts/promptSegments.js';
import { homeRegionsOf } from '../routes/homeRegions.js';
import { RouteTable } from '../routes/RouteTable.js';
import type { ClientAccount, Route } from '../routes/routeTypes.js';
import type { DaemonAnswer } from './AnswerRelay.js';
import { passingHeaders } from './forwardedHeaders.js';
import type { AdmittedRequest, ForwardingContext, TakenUpStream } from './forwardingTypes.js';
import type { HeaderNames, RunnerProtocol } from './RunnerProtocol.js';

/** The admitted request, or the error answer to a rejected one. */
export type Admission =
  | { readonly kind: 'admitted'; readonly request: AdmittedRequest }
  | { readonly kind: 'rejected'; readonly own: DaemonAnswer };

/** Share of a runner's connections that the daemons use; the rest is a margin, as a daemon may know of too few others. */
const CONNECTION_SHARE = 0.8;

/** Minimum number of connections to one runner; in a large fleet, each daemon still needs a few at a time. */
const MINIMUM_CONNECTIONS = 4;

/** Number of connections to one runner of a service that configures no limit. */
const DEFAULT_CONNECTIONS = 64;

/** `Retry-After` before the first configuration, in seconds; a responsive store supplies it within a few ms. */
const CONFIGURATION_RETRY_SECONDS = 0.1;

/**
 * `Retry-After` during an outage of the store, in seconds. Such outages last seconds, and callers retry once, at most
 * after a third of their time; the later they retry, the more likely they are served.
 */
const OUTAGE_RETRY_SECONDS = 1.5;

/** `Retry-After` while this daemon waits for a configuration that others have, in seconds. */
const BEHIND_RETRY_SECONDS = 0.25;

/** `Retry-After` while this daemon stops, in seconds; another daemon can take the request at once. */
const STOPPING_RETRY_SECONDS = 0.02;

/** Refusal of a request that this daemon, which stops, has not begun. */
export const STOPPING: DaemonAnswer = {
  status: 503,
  reason: 'stopping',
  retryAfterSeconds: STOPPING_RETRY_SECONDS,
};

/**
 * `Retry-After` when no region is a home region of both the route and the client account, in seconds. That stays so
 * until operators change the configuration.
 */
const NO_COMMON_HOME_RETRY_SECONDS = 1.5;

const HIGHEST_URGENCY_RANK = 9;

/** What a request keeps of its prompt. */
type AdmittedPrompt = Pick<AdmittedRequest, 'sharedParts' | 'allSharedParts' | 'work'>;

const NO_PROMPT: AdmittedPrompt = { sharedParts: [], allSharedParts: () => [], work: undefined };

let requestsWithoutId = 0;

/** A prompt may have thousands of parts, so that the request keeps its segments only. */
function promptOf(
  protocol: RunnerProtocol,
  headers: IncomingHttpHeaders,
  route: Route,
): AdmittedPrompt {
  if (!route.cachesPrompts) return NO_PROMPT;
  const work = protocol.workOf(headers);
  return {
    sharedParts: segmentIds(protocol.sharedPartsOf(headers)),
    allSharedParts: () => protocol.sharedPartsOf(headers),
    work: work && { ...work, parts: segmentParts(work.parts) },
  };
}

function rejected(status: number, reason: string, retryAfterSeconds?: number): Admission {
  return { kind: 'rejected', own: { status, reason, retryAfterSeconds } };
}

/** Rejects a request that the configuration in force does not allow, unless a newer one may allow it. */
function rejectedByConfiguration(
  { isConfigurationBehind }: ForwardingContext,
  status: number,
  reason: string,
): Admission {
  if (!isConfigurationBehind()) return rejected(status, reason);
  return rejected(503, 'configuration_behind', BEHIND_RETRY_SECONDS);
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function takenUpStream(
  headers: IncomingHttpHeaders,
  names: HeaderNames,
  { kind, resumable }: Route,
): TakenUpStream | undefined {
  const lastEventId = firstValue(headers[names.lastEventId]);
  if (kind !== 'stream' || !resumable || !lastEventId) return undefined;
  return { id: firstValue(headers[names.resumes]) };
}

function headerBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function connectionLimit(table: RouteTable, service: string, daemons: number): number {
  const maximum = table.serviceOf(service)?.maximumConnections ?? DEFAULT_CONNECTIONS;
  return Math.max(MINIMUM_CONNECTIONS, Math.floor((maximum * CONNECTION_SHARE) / daemons));
}

/**
 * Headers that are not forwarded, and those that are forwarded even if `Connection` lists them. Created once for each
 * protocol.
 */
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
  return { dropped, essential: new Set([names.requestId, names.lastEventId, names.resumes]) };
}

const headerSetsByProtocol = new WeakMap<object, ReturnType<typeof headerSets>>();

function cachedHeaderSets(context: ForwardingContext) {
  const known = headerSetsByProtocol.get(context.protocol);
  if (known) return known;
  const made = headerSets(context);
  headerSetsByProtocol.set(context.protocol, made);
  return made;
}

/** The priority of the client account takes precedence over that of the route. */
function urgencyOf(route: Route, account: ClientAccount | undefined): number {
  return Math.min(HIGHEST_URGENCY_RANK, account?.priority ?? route.priority);
}

function runnerHeaders(
  request: IncomingMessage,
  context: ForwardingContext,
  route: Route,
  account: ClientAccount | undefined,
): string[] {
  const { names } = context.protocol;
  const { dropped, essential } = cachedHeaderSets(context);
  const headers = ['Host', request.headers.host ?? ''];
  headers.push(...passingHeaders(request.rawHeaders, dropped, essential));
  if (account) headers.push(names.clientAccount, account.name);
  if (route.kind === 'stream') headers.push(names.urgency, String(urgencyOf(route, account)));
  return headers;
}

/**
 * @param request - request whose head has been read.
 * @param context - dependencies that all requests share.
 * @param arrivedAt - when the request arrived, monotonic ms.
 * @returns The admitted request with all data for forwarding it, or the error answer.
 */
export function admitRequest(
  request: IncomingMessage,
  context: ForwardingContext,
  arrivedAt: number = context.clock.monotonicMilliseconds(),
): Admission {
  const table = context.routes();
  if (!table) {
    const isOutage = context.isStoreSilent();
    const retryAfterSeconds = isOutage ? OUTAGE_RETRY_SECONDS : CONFIGURATION_RETRY_SECONDS;
    return rejected(503, 'no_configuration', retryAfterSeconds);
  }
  if (context.stopPhase() === 'closing') return { kind: 'rejected', own: STOPPING };
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
  if (!route) return rejectedByConfiguration(context, 404, 'no_route');
  const account = table.accountOf(firstValue(headers[names.key]) ?? '');
  if (table.requiresKeys && !route.anonymous && !account) {
    return rejectedByConfiguration(context, 401, 'unknown_key');
  }
  const homeRegions = homeRegionsOf(route, account);
  if (homeRegions?.length === 0)
    return rejected(503, 'no_common_home', NO_COMMON_HOME_RETRY_SECONDS);
  const deadline = Number.parseFloat(firstValue(headers[names.deadline]) ?? '');
  const callerMilliseconds = deadline > 0 ? deadline : Number.POSITIVE_INFINITY;
  const ownId = firstValue(headers[names.requestId]);
  requestsWithoutId += ownId === undefined ? 1 : 0;
  const id = ownId ?? `unnamed-${requestsWithoutId}`;
  const takesUp = takenUpStream(headers, names, route);
  // A stream goes on at the service that it began at.
  const service = RouteTable.targetOf(route, takesUp?.id ?? id);
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
      ...promptOf(context.protocol, headers, route),
      urgency: urgencyOf(route, account),
      takesUp,
      arrivedAt,
      deadlineAt: arrivedAt + Math.min(callerMilliseconds, route.timeoutMilliseconds),
      connectionLimit: connectionLimit(table, service, Math.max(1, context.daemons())),
    },
  };
}

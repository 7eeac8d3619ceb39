/**
 * Builds the headers of one attempt: the forwarded headers of the request and those that differ for each runner.
 */
import type { Runner } from '../runners/Runner.js';
import { replaceHeader } from './forwardedHeaders.js';
import type { AdmittedRequest } from './forwardingTypes.js';
import type { HeaderNames } from './RunnerProtocol.js';

/** Options of {@link attemptHeaders}. */
export interface AttemptHeadersOptions {
  readonly request: AdmittedRequest;
  readonly names: HeaderNames;
  readonly runnerId: string;
  /** Runner that has cached more of the prompt than the target, if there is one. */
  readonly cacheSource: Runner | undefined;
  /** Time left until the caller's deadline, in ms. */
  readonly remainingMilliseconds: number;
  /** Body as the caller sent it, or `undefined` if there was none. */
  readonly body: Buffer | undefined;
  /** Id of the last event that the caller has received of a stream that is being resumed; otherwise `undefined`. */
  readonly resumesAfter: string | undefined;
}

function hasBody({ request, body }: AttemptHeadersOptions): boolean {
  return body !== undefined || request.method === 'POST' || request.method === 'PUT';
}

/**
 * @param options - the request and its runner.
 * @returns Flat list of alternating names and values.
 */
export function attemptHeaders(options: AttemptHeadersOptions): string[] {
  const { request, names, runnerId, cacheSource, remainingMilliseconds } = options;
  const { body, resumesAfter } = options;
  const deadline = Math.max(1, Math.floor(remainingMilliseconds));
  const added = [names.deadline, String(deadline), names.expectedRunner, runnerId];
  if (cacheSource) {
    const { host, port } = cacheSource.entry;
    added.push(names.cacheSource, `${host}:${port}`);
  }
  if (hasBody(options)) added.push('Content-Length', String(body?.length ?? 0));
  if (resumesAfter === undefined) return [...request.headers, ...added];
  return [...replaceHeader(request.headers, names.lastEventId, resumesAfter), ...added];
}

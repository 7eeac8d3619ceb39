/**
 * The headers of one attempt: what passes from the caller, with what is new for each runner.
 */
import type { Runner } from '../runners/Runner.js';
import type { AdmittedRequest } from './forwardingTypes.js';
import type { HeaderNames } from './RunnerProtocol.js';

/** What differs between attempts. */
export interface AttemptHeadersQuestion {
  readonly request: AdmittedRequest;
  readonly names: HeaderNames;
  readonly runnerId: string;
  /** A runner that has cached more of the prompt, if there is one. */
  readonly cacheSource: Runner | undefined;
  /** What is left until the caller's deadline, in ms. */
  readonly remainingMilliseconds: number;
  /** As the caller sent it, or `undefined` where there was none. */
  readonly body: Buffer | undefined;
  /** The last event that the caller has of a stream that goes on, or `undefined`. */
  readonly resumesAfter: string | undefined;
}

function without(headers: readonly string[], dropped: string): string[] {
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== dropped) kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}

function hasBody({ request, body }: AttemptHeadersQuestion): boolean {
  return body !== undefined || request.method === 'POST' || request.method === 'PUT';
}

/**
 * @param question - the request and its runner.
 * @returns Flat, name and value in turn.
 */
export function attemptHeaders(question: AttemptHeadersQuestion): string[] {
  const { request, names, runnerId, cacheSource, remainingMilliseconds } = question;
  const { body, resumesAfter } = question;
  const deadline = Math.max(1, Math.floor(remainingMilliseconds));
  const own = [names.deadline, String(deadline), names.expectedRunner, runnerId];
  if (cacheSource) {
    const { host, port } = cacheSource.entry;
    own.push(names.cacheSource, `${host}:${port}`);
  }
  if (hasBody(question)) own.push('Content-Length', String(body?.length ?? 0));
  if (resumesAfter === undefined) return [...request.headers, ...own];
  return [...without(request.headers, names.lastEventId), ...own, names.lastEventId, resumesAfter];
}

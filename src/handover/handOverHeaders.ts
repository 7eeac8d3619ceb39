/**
 * Path and headers with which daemons hand requests over to each other.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Path at the address for requests of other daemons. */
export const HAND_OVER_PATH = '/handover';

/** Set on a refusal: the daemon has not taken the request and another one should be asked; its value is the reason. */
export const REFUSED_HEADER = 'handover-refused';

/** Set on an error of a daemon that took the request and reached no runner, so that it has not run. */
export const UNREACHED_HEADER = 'handover-unreached';

/** Set on a refusal of a daemon that has no room for the request at any runner; another one may have. */
export const FULL_HEADER = 'handover-full';

/** Set on an error of a daemon whose runner broke off, so that the request may have run. */
export const BROKEN_HEADER = 'handover-broken';

/** Software version of the runner that began the stream of an answer, URI-encoded. */
export const VERSION_HEADER = 'handover-version';

/** Incarnations of the runners that may have run the request, URI-encoded and separated by commas. */
export const TRIED_HEADER = 'handover-tried';

/** Headers of answers between daemons that callers do not get. */
export const HEADERS_BETWEEN_DAEMONS: ReadonlySet<string> = new Set([VERSION_HEADER, TRIED_HEADER]);

/**
 * @param lives - incarnations of runners.
 * @returns The value of the header that tells of them.
 */
export function triedHeaderFor(lives: readonly string[]): string {
  return lives.map(encodeURIComponent).join(',');
}

/**
 * @param headers - headers of another daemon's answer.
 * @returns Incarnations of the runners that may have run the request, as far as the other daemon tells.
 */
export function triedRunnersIn(headers: IncomingHttpHeaders): string[] {
  const text = headers[TRIED_HEADER];
  return typeof text === 'string' && text !== '' ? text.split(',').map(decodeURIComponent) : [];
}

/**
 * @param headers - headers of another daemon's answer.
 * @returns Software version of the runner; `undefined` if the other daemon does not tell.
 */
export function runnerVersionIn(headers: IncomingHttpHeaders): string | undefined {
  const text = headers[VERSION_HEADER];
  return typeof text === 'string' ? decodeURIComponent(text) : undefined;
}

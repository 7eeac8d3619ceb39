/**
 * Which headers pass the daemon. Lists are flat, name and value in turn, as Node.js reads and takes them:
 * objects would cost a copy for each header of each request.
 */

/** Headers of one connection (RFC 9110, section 7.6.1), and those that the daemon's own framing replaces. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** The headers that a sender names in `Connection` concern that connection only. */
function namedInConnection(rawHeaders: readonly string[]): string[] {
  const named: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection') {
      named.push(...(rawHeaders[index + 1] ?? '').toLowerCase().split(','));
    }
  }
  return named.map((name) => name.trim()).filter((name) => name !== '');
}

/**
 * @param rawHeaders - as received.
 * @param dropped - names in lower case that do not pass either.
 * @param essential - names in lower case that pass even where `Connection` names them.
 * @returns What passes, in the same order and spelling.
 */
export function passingHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
  essential: ReadonlySet<string> = new Set(),
): string[] {
  const hopByHop = namedInConnection(rawHeaders).filter((name) => !essential.has(name));
  const passing: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    const stops = CONNECTION_HEADERS.has(lower) || dropped.has(lower) || hopByHop.includes(lower);
    if (!stops) passing.push(name, rawHeaders[index + 1] ?? '');
  }
  return passing;
}

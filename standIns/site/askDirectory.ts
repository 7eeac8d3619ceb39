/**
 * The directory of a daemon as callers ask it.
 */
import type { RouterSettings } from '../../src/router/routerFeature.js';
import { fetchText } from './SiteProcess.js';

const PATH = '/v1/resolve';

/** Where a caller is. */
export interface CallerRegion {
  zone: string;
  region?: string;
}

const OK = 200;

/**
 * @param settings - of the daemon that is asked.
 * @param place - of the caller.
 * @returns The addresses for callers that it names; none where it does not answer, or has none.
 */
export async function askDirectory(
  { addresses }: RouterSettings,
  place: CallerRegion = { zone: 'here' },
): Promise<readonly string[]> {
  const query = new URLSearchParams({ name: 'site.example', ...place });
  const { status, text } = await fetchText(addresses.directory, `${PATH}?${query}`);
  return status === OK ? (JSON.parse(text) as { addresses: string[] }).addresses : [];
}

/**
 * Queries the directory of a daemon as a caller does.
 */
import type { RouterSettings } from '../../src/router/routerFeature.js';
import { fetchText } from './SiteProcess.js';

const PATH = '/v1/resolve';

/** Location of a caller. */
export interface CallerRegion {
  zone: string;
  region?: string;
}

const OK = 200;

/**
 * @param settings - settings of the daemon.
 * @param place - location of the caller.
 * @returns The addresses in its answer; empty if it does not answer with status 200.
 */
export async function askDirectory(
  { addresses }: RouterSettings,
  place: CallerRegion = { zone: 'here' },
): Promise<readonly string[]> {
  const query = new URLSearchParams({ name: 'site.example', ...place });
  const { status, text } = await fetchText(addresses.directory, `${PATH}?${query}`);
  return status === OK ? (JSON.parse(text) as { addresses: string[] }).addresses : [];
}

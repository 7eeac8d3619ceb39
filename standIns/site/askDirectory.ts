/**
 * The directory of a daemon as callers ask it.
 */
import type { RouterSettings } from '../../src/router/routerFeature.js';
import { fetchText } from './SiteProcess.js';

const PATH = '/v1/resolve?name=site.example&zone=here';

const OK = 200;

/**
 * @param settings - of the daemon that is asked.
 * @returns The addresses for callers that it names; none where it does not answer, or has none.
 */
export async function askDirectory({ addresses }: RouterSettings): Promise<readonly string[]> {
  const { status, text } = await fetchText(addresses.directory, PATH);
  return status === OK ? (JSON.parse(text) as { addresses: string[] }).addresses : [];
}

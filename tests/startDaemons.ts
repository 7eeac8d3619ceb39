/**
 * Starts the daemons of a site, in this process or in processes of their own.
 */
import type { RouterSettings } from '../src/router/routerFeature.js';
import type { SiteProcesses } from '../standIns/site/SiteProcesses.js';
import type { SiteDaemon, StandInSite } from '../standIns/site/StandInSite.js';

/**
 * @param site - the site.
 * @param count - number of daemons.
 * @param processes - starts them as processes; they run in this process if it is `undefined`.
 * @returns Settings of the daemons, once all are ready; in this process they also know each other.
 */
export async function startDaemons(
  site: StandInSite,
  count: number,
  processes?: SiteProcesses,
): Promise<readonly RouterSettings[]> {
  if (processes) {
    await processes.start(site, count);
    return processes.all.map(({ settings }) => settings);
  }
  for (let index = 0; index < count; index += 1) await site.addDaemon(`daemon-${index}`);
  const knowsAll = ({ daemon }: SiteDaemon) =>
    daemon.isReady && daemon.knowledge.daemons.size === count;
  await site.until(() => site.daemons.every(knowsAll));
  return site.daemons.map(({ settings }) => settings);
}

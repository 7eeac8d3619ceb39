/**
 * Sums up the load of each pool over all gates, from the digests of this data centre's daemons and the summaries of other
 * data centres.
 */
import type { DataCentreSummary, Member, PoolDigest } from '../generated/baobabdock/v1/peers_pb.js';
import type { PoolLoad } from './FleetView.js';

const EMPTY_POOL_LOAD: PoolLoad = { runners: 0, mean: 0, lightest: [] };

/**
 * States of daemons whose digests count. The gates in the digest of a dead daemon are held by other daemons by now; counting
 * them twice would halve the mean.
 */
const COUNTED_STATES: ReadonlySet<string> = new Set(['alive', 'suspect', 'leaving']);

interface PoolSum {
  runners: number;
  load: number;
  lightest: { runnerId: string; load: number }[];
}

function addDigest(sums: Map<string, PoolSum>, digest: PoolDigest): void {
  const sum = sums.get(digest.service) ?? { runners: 0, load: 0, lightest: [] };
  sum.runners += digest.runners;
  sum.load += digest.load;
  if (digest.lightestRunner !== '') {
    sum.lightest.push({ runnerId: digest.lightestRunner, load: digest.lightestLoad });
  }
  sums.set(digest.service, sum);
}

/**
 * Sums up all pools.
 *
 * @param members - all known daemons.
 * @param summaries - summaries by data centre; the digests of daemons in those data centres are not counted again.
 * @returns The load of each pool by its service's name.
 */
export function poolLoadsOf(
  members: Iterable<Member>,
  summaries: ReadonlyMap<string, DataCentreSummary>,
): ReadonlyMap<string, PoolLoad> {
  const sums = new Map<string, PoolSum>();
  for (const { dataCentre, state, pools } of members) {
    if (summaries.has(dataCentre) || !COUNTED_STATES.has(state)) continue;
    for (const digest of pools) addDigest(sums, digest);
  }
  for (const { pools } of summaries.values()) {
    for (const digest of pools) addDigest(sums, digest);
  }
  return new Map(
    [...sums].map(([service, { runners, load, lightest }]) => [
      service,
      {
        runners,
        mean: runners === 0 ? 0 : load / runners,
        lightest: lightest.sort((a, b) => a.load - b.load),
      },
    ]),
  );
}

/**
 * @param loads - the result of {@link poolLoadsOf}.
 * @param service - the service's name.
 * @returns The pool's load; zeros and an empty list if no digest mentions the pool.
 */
export function poolLoadOf(loads: ReadonlyMap<string, PoolLoad>, service: string): PoolLoad {
  return loads.get(service) ?? EMPTY_POOL_LOAD;
}

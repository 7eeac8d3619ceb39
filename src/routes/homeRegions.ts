/**
 * Home regions: the regions in which a request may be run.
 */
import type { ClientAccount, Route } from './routeTypes.js';

/** Names of the allowed regions; `undefined` allows all regions, an empty list none. */
export type HomeRegions = readonly string[] | undefined;

/**
 * Intersects two restrictions.
 *
 * @param one - the first restriction.
 * @param other - the second restriction.
 * @returns Regions that both allow; empty if they have none in common.
 */
export function intersectHomeRegions(one: HomeRegions, other: HomeRegions): HomeRegions {
  if (one === undefined || other === undefined) return one ?? other;
  return one.filter((region) => other.includes(region));
}

/**
 * @param route - the route of a request.
 * @param account - the client account of its caller, if there is one.
 * @returns Regions in which the request may be run, allowed by both the route and the account.
 */
export function homeRegionsOf(route: Route, account: ClientAccount | undefined): HomeRegions {
  return intersectHomeRegions(route.homeRegions, account?.homeRegions);
}

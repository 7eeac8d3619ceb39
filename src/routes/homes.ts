/**
 * Which regions a request may be run in.
 */
import type { ClientAccount, Route } from './routeTypes.js';

/** Regions, or `undefined` where all will do. */
export type HomeRegions = readonly string[] | undefined;

/**
 * @param one - regions that bind.
 * @param other - regions that bind beside them.
 * @returns Regions that both allow; there may be none.
 */
export function commonHomes(one: HomeRegions, other: HomeRegions): HomeRegions {
  if (one === undefined || other === undefined) return one ?? other;
  return one.filter((region) => other.includes(region));
}

/**
 * @param route - of a request.
 * @param account - of its caller, if it has one.
 * @returns Where the request may be run.
 */
export function homesOf(route: Route, account: ClientAccount | undefined): HomeRegions {
  return commonHomes(route.homeRegions, account?.homeRegions);
}

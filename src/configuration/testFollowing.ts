/**
 * Fleets that follow the platform's documents, for tests.
 */
import { expect } from 'earl';

import type { FollowingFleet, FleetPlace } from '../../standIns/platform/FollowingFleet.js';
import { policyEdit } from '../../standIns/platform/sampleConfiguration.js';

/** In ms. */
export const SECOND = 1000;

/** Longest time for all of a small fleet to follow: gossip in turns, a pull, and a failed peer or two. */
export const SETTLE = 6 * SECOND;

/** Checks that come several times in a test. */
export const QUICK_CHECKS = {
  checkMilliseconds: 8 * SECOND,
  runnersCheckMilliseconds: 8 * SECOND,
} as const;

/**
 * @param regions - how many.
 * @param dataCentres - of each region.
 * @param daemons - of each data centre.
 * @returns Where each daemon is.
 */
export function places(regions: number, dataCentres: number, daemons: number): FleetPlace[] {
  return Array.from({ length: regions }, (_r, region) =>
    Array.from({ length: dataCentres }, (_d, dataCentre) =>
      Array.from({ length: daemons }, () => ({
        region: `region-${region + 1}`,
        dataCentre: `region-${region + 1}-${dataCentre + 1}`,
      })),
    ),
  ).flat(2);
}

/** Commits one change of a policy through a daemon. */
export const change = (fleet: FollowingFleet, index: number, name: string, bound = 1.2) =>
  fleet.editor(index).change({
    changeId: name,
    author: 'ana',
    comment: '',
    edits: [policyEdit('warm', bound)],
  });

/** Every daemon is at this revision. */
export const allEqual = (fleet: FollowingFleet, revision: number): void =>
  expect(fleet.revisions()).toEqual(fleet.revisions().map(() => revision));

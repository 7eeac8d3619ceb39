/**
 * Test helpers for fleets that synchronize their documents with the platform's store.
 */
import { expect } from 'earl';

import type { FollowingFleet, FleetPlace } from '../../standIns/platform/FollowingFleet.js';
import { policyEdit } from '../../standIns/platform/sampleConfiguration.js';

/** One second, in milliseconds. */
export const SECOND = 1000;

/**
 * Upper limit for a change to reach every daemon of a small fleet, in milliseconds: several gossip rounds, a
 * pull, and one or two failed peers.
 */
export const SETTLE_MILLISECONDS = 6 * SECOND;

/** Check intervals that are short enough for several checks within one test, in milliseconds. */
export const SHORT_CHECK_INTERVALS = {
  checkMilliseconds: 8 * SECOND,
  runnersCheckMilliseconds: 8 * SECOND,
} as const;

/**
 * Lists the locations of a fleet's daemons.
 *
 * @param regions - number of regions.
 * @param dataCentres - number of data centres in each region.
 * @param daemons - number of daemons in each data centre.
 * @returns The location of each daemon.
 */
export function fleetPlaces(regions: number, dataCentres: number, daemons: number): FleetPlace[] {
  return Array.from({ length: regions }, (_r, region) =>
    Array.from({ length: dataCentres }, (_d, dataCentre) =>
      Array.from({ length: daemons }, () => ({
        region: `region-${region + 1}`,
        dataCentre: `region-${region + 1}-${dataCentre + 1}`,
      })),
    ),
  ).flat(2);
}

/** Commits a change of the routing policy `warm` through one daemon. */
export const commitPolicyChange = (
  fleet: FollowingFleet,
  index: number,
  name: string,
  bound = 1.2,
) =>
  fleet.editor(index).change({
    changeId: name,
    author: 'ana',
    comment: '',
    edits: [policyEdit('warm', bound)],
  });

/** Expects every daemon to be at a revision. */
export const expectAllAtRevision = (fleet: FollowingFleet, revision: number): void =>
  expect(fleet.revisions()).toEqual(fleet.revisions().map(() => revision));

/**
 * Creates the membership task of a daemon, once its ports are open and its addresses are known.
 */
import { randomInt } from 'node:crypto';

import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { MembershipDecisions } from '../membership/MembershipDecisions.js';
import type { MembershipListener } from '../membership/MembershipTask.js';
import { MembershipTask } from '../membership/MembershipTask.js';
import type { DaemonContext, DaemonParts } from './createParts.js';
import { SEED_LIMIT } from './createParts.js';

/**
 * @param context - settings, log and clock.
 * @param parts - the fleet's state and the link to other daemons.
 * @param self - this daemon's record with its addresses.
 * @param listener - receives the membership's events.
 * @returns The task, not yet started.
 */
export function createMembership(
  { settings, log, clock }: DaemonContext,
  { fleet, link }: Pick<DaemonParts, 'fleet' | 'link'>,
  self: Member,
  listener: MembershipListener,
): MembershipTask {
  const { daemonId, peerAddress, callerAddress, region, dataCentre, firm } = self;
  const incarnation = Number(self.incarnation);
  const place = { peerAddress, callerAddress, region, dataCentre, firm };
  const decisions = new MembershipDecisions({
    self: { daemonId, incarnation, version: 1, state: 'alive', ...place },
    seed: randomInt(SEED_LIMIT),
    tuning: settings.membership,
  });
  const { awayThresholdMilliseconds } = settings.membership;
  return new MembershipTask({
    decisions,
    clock,
    link,
    fleet,
    log,
    listener,
    awayThresholdMilliseconds,
  });
}

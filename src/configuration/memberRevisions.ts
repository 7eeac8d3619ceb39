/**
 * Extracts the revisions of documents from membership records.
 */
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import type { MemberRevisions } from './configurationTypes.js';

/**
 * Reduces a membership record to what the configuration's decisions need.
 *
 * @param member - a membership record.
 * @returns The daemon's location, liveness and revisions.
 */
export function toMemberRevisions(member: Member): MemberRevisions {
  return {
    daemonId: member.daemonId,
    incarnation: Number(member.incarnation),
    peerAddress: member.peerAddress,
    region: member.region,
    dataCentre: member.dataCentre,
    alive: member.state === 'alive',
    configurationRevision: Number(member.configurationRevision),
    configurationDigest: member.configurationDigest,
    runnersRevision: Number(member.runnersRevision),
  };
}

/**
 * This daemon's own member record, as other daemons receive it.
 */
import { create } from '@bufbuild/protobuf';

import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { Clock } from '../time/Clock.js';
import type { DaemonSettings } from './daemonFeature.js';

/** Addresses of a daemon; empty until its ports are open. */
export interface DaemonAddresses {
  peerAddress?: string;
  callerAddress?: string;
}

/**
 * @param settings - the `daemon` section of the settings.
 * @param clock - its wall-clock time in milliseconds becomes the incarnation.
 * @param addresses - `host:port` for other daemons and for callers.
 * @returns A record in state `alive`.
 */
export function selfMember(
  { id: daemonId, region, dataCentre, firm }: DaemonSettings,
  clock: Clock,
  { peerAddress = '', callerAddress = '' }: DaemonAddresses = {},
): Member {
  return create(MemberSchema, {
    daemonId,
    incarnation: BigInt(Math.round(clock.wallMilliseconds())),
    state: 'alive',
    peerAddress,
    callerAddress,
    region,
    dataCentre,
    firm,
    version: 1n,
  });
}

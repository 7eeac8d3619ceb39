/**
 * Builds the actions that call other daemons: gossip messages and requests for indirect probes.
 */
import type { GossipComposer } from './GossipComposer.js';
import type { MembershipTuning } from './membershipOptions.js';
import type { Gossip, LocalNews, MemberRecord, MembershipAction } from './membershipTypes.js';
import type { MemberTable } from './MemberTable.js';
import type { PendingProbes, ProbeReason } from './PendingProbes.js';

/** Options of {@link GossipCalls}. */
export interface GossipCallsOptions {
  table: MemberTable;
  composer: GossipComposer;
  probes: PendingProbes;
  tuning: MembershipTuning;
}

/** The address of a daemon that has no record here yet. */
export interface UnknownDaemon {
  /** Empty for a seed, of which only the address is known. */
  readonly daemonId: string;
  readonly peerAddress: string;
}

/** Builds calls and registers each one as a pending probe, so that its result can be matched to it. */
export class GossipCalls {
  private readonly table: MemberTable;

  private readonly composer: GossipComposer;

  private readonly probes: PendingProbes;

  private readonly tuning: MembershipTuning;

  /**
   * @param options - the member table, the message builder, the pending probes and the tuning.
   */
  constructor({ table, composer, probes, tuning }: GossipCallsOptions) {
    this.table = table;
    this.composer = composer;
    this.probes = probes;
    this.tuning = tuning;
  }

  /**
   * Asks a daemon without a record here for all members.
   *
   * @param now - monotonic milliseconds.
   * @param unknown - the daemon's address.
   * @param local - this daemon's own news.
   * @returns The call.
   */
  requestAllMembers(now: number, unknown: UnknownDaemon, local: LocalNews): MembershipAction {
    const gossip = this.composer.compose(now, {
      kind: 'full',
      partner: undefined,
      records: [this.table.self],
      local,
    });
    return this.createCall(unknown, 'seed', gossip);
  }

  /**
   * Sends gossip to a known daemon. Periodic and dispute calls are skipped while a probe of it is pending.
   *
   * @param now - monotonic milliseconds.
   * @param local - this daemon's own news.
   * @param daemonId - the daemon to call.
   * @param reason - why it is called; `comparison` without records asks the daemon which records differ.
   * @param records - records to include in any case.
   * @returns The call, or no action if the daemon is unknown or the call is skipped.
   */
  callMember(
    now: number,
    local: LocalNews,
    daemonId: string,
    reason: ProbeReason,
    records: readonly MemberRecord[] = [],
  ): MembershipAction[] {
    const partner = this.table.get(daemonId);
    const skipsPending = reason === 'round' || reason === 'dispute';
    if (!partner || (skipsPending && this.probes.isOpen(daemonId))) return [];
    const isRevive = reason === 'revive';
    const requestsComparison = isRevive || (reason === 'comparison' && records.length === 0);
    const gossip = this.composer.compose(now, {
      kind: requestsComparison ? 'compare' : 'delta',
      partner,
      records: isRevive ? [this.table.self] : records,
      local,
    });
    return [this.createCall(partner, reason, gossip)];
  }

  /**
   * Asks other daemons to probe a daemon (indirect probe), so that one bad link does not make a healthy
   * daemon suspect.
   *
   * @param helpers - names of the daemons that make the probe.
   * @param target - the daemon to be probed.
   * @param refused - whether its host refused the connection of the direct probe.
   * @returns One request for each helper.
   */
  requestIndirectProbes(
    helpers: readonly string[],
    { daemonId, peerAddress }: MemberRecord,
    refused: boolean,
  ): MembershipAction[] {
    const probe = this.probes.openIndirect(daemonId, refused, helpers.length);
    const timeoutMilliseconds = this.tuning.probeTimeoutMilliseconds;
    return helpers.map((through) => {
      const throughAddress = this.table.get(through)?.peerAddress ?? '';
      const target = { daemonId, peerAddress, timeoutMilliseconds };
      return { kind: 'probe_for', probe, through, throughAddress, ...target };
    });
  }

  private createCall(
    { daemonId, peerAddress }: UnknownDaemon,
    reason: ProbeReason,
    gossip: Gossip,
  ): MembershipAction {
    const probe = this.probes.open(daemonId, reason);
    const timeoutMilliseconds = this.tuning.probeTimeoutMilliseconds;
    return { kind: 'gossip', probe, daemonId, peerAddress, gossip, timeoutMilliseconds };
  }
}

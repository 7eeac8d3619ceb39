/**
 * The revision of the configuration that is in force on each daemon, as far as this daemon knows.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';

/** States in which a daemon serves requests and therefore needs the newest configuration. */
const SERVING_STATES: ReadonlySet<string> = new Set(['alive', 'suspect', 'leaving']);

/** A daemon that serves requests, with its revision of the configuration. */
export interface DaemonRevision {
  readonly member: Member;
  /** The daemon has this revision or a newer one in force. */
  readonly revision: bigint;
}

/**
 * @param member - a daemon's record.
 * @returns Whether the daemon serves requests, by its state in this daemon's view.
 */
export function isServing(member: Member): boolean {
  return SERVING_STATES.has(member.state);
}

function newerRevision(a: bigint, b: bigint): bigint {
  return a > b ? a : b;
}

/**
 * Lists the serving daemons with their revisions. For another data centre only the lowest revision of its daemons is
 * received, in the data centre's summary. A daemon's own record may carry an older one. Revisions never decrease, so the
 * daemon has at least the larger of the two.
 *
 * @param fleet - this daemon's view of the fleet.
 * @returns All daemons that serve requests.
 */
export function daemonRevisions(fleet: FleetView): readonly DaemonRevision[] {
  const lowest = new Map(
    fleet
      .dataCentreSummaries()
      .map((summary) => [summary.dataCentre, summary.lowestConfigurationRevision]),
  );
  const self = fleet.self();
  return fleet
    .members()
    .filter(isServing)
    .map((member) => {
      const own = member.daemonId === self.daemonId;
      const summaryRevision = lowest.get(member.dataCentre);
      const reportedRevision =
        member.dataCentre !== self.dataCentre && summaryRevision !== undefined
          ? summaryRevision
          : 0n;
      const known = own ? BigInt(fleet.configurationRevision()) : reportedRevision;
      return { member, revision: newerRevision(known, member.configurationRevision) };
    });
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @returns The newest revision that any serving daemon has in force.
 */
export function newestRevision(fleet: FleetView): bigint {
  return daemonRevisions(fleet)
    .map(({ revision }) => revision)
    .reduce(newerRevision, BigInt(fleet.configurationRevision()));
}

/**
 * @param fleet - this daemon's view of the fleet.
 * @returns The lowest revision of all serving daemons: each of them has it or a newer one in force.
 */
export function lowestRevision(fleet: FleetView): bigint {
  return daemonRevisions(fleet)
    .map(({ revision }) => revision)
    .reduce((lowest, revision) => (revision < lowest ? revision : lowest), newestRevision(fleet));
}

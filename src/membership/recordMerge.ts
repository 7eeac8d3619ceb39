/**
 * Merges a peer's record of a daemon with the one known here.
 */
import type { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { MemberEvent, MemberRecord, MemberState } from './membershipTypes.js';

/** The state machine of membership.chart.json. */
export type MemberChart = ChartInterpreter<MemberState, MemberEvent>;

/** The result of merging a received record. */
export type MergeOutcome =
  | { readonly kind: 'nothing_new' }
  /** The peer's record is older: ours should be sent to it. */
  | { readonly kind: 'ours_is_newer' }
  /** One side has the daemon as dead and the other as alive: only the daemon itself can settle that. */
  | { readonly kind: 'disputed' }
  | { readonly kind: 'accepted'; readonly record: MemberRecord };

const NOTHING_NEW: MergeOutcome = { kind: 'nothing_new' };
const OURS_IS_NEWER: MergeOutcome = { kind: 'ours_is_newer' };
const DISPUTED: MergeOutcome = { kind: 'disputed' };

/** At equal versions the record whose state has the greater rank wins. */
const RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
  left: 4,
};

const EVENTS: Readonly<Record<MemberState, MemberEvent>> = {
  alive: 'refuted',
  suspect: 'suspected',
  leaving: 'announced_leaving',
  dead: 'died',
  left: 'left',
};

/**
 * After a network partition each side has the other side's daemons as dead. If such records were accepted,
 * every daemon would be dead for some others until it has refuted that, and the gates of the whole fleet would
 * move twice. So neither of the states dead and alive replaces the other; the daemon itself is called instead.
 */
function isDisputed(known: MemberRecord, received: MemberRecord): boolean {
  if (received.state === 'dead') return known.state === 'alive';
  return known.state === 'dead' && received.state === 'alive' && received.version === known.version;
}

function acceptNewer(
  chart: MemberChart,
  known: MemberRecord,
  received: MemberRecord,
): MergeOutcome {
  // Without this, a second record that has the daemon as dead would make it suspect again.
  if (received.state === known.state) return { kind: 'accepted', record: received };
  let { state } = known;
  // The daemon itself raised the version after the suspicion known here, so that suspicion is refuted.
  if (received.version > known.version) state = chart.next(state, 'refuted').state;
  state = chart.next(state, EVENTS[received.state]).state;
  return { kind: 'accepted', record: { ...received, state } };
}

/**
 * Merges a record of another daemon; never called for this daemon's own record.
 *
 * @param chart - the state machine of a member.
 * @param known - the record known here, if there is one.
 * @param received - the peer's record.
 * @returns Whether the peer's record is accepted, and the merged record if so.
 */
export function mergeRecord(
  chart: MemberChart,
  known: MemberRecord | undefined,
  received: MemberRecord,
): MergeOutcome {
  if (!known) {
    const isGone = received.state === 'dead' || received.state === 'left';
    return isGone ? NOTHING_NEW : { kind: 'accepted', record: received };
  }
  if (received.incarnation < known.incarnation) return OURS_IS_NEWER;
  if (received.incarnation > known.incarnation) return { kind: 'accepted', record: received };
  if (known.state === 'left') return received.state === 'left' ? NOTHING_NEW : OURS_IS_NEWER;
  if (received.state === 'left') return acceptNewer(chart, known, received);
  if (received.version < known.version) {
    return received.state === known.state ? NOTHING_NEW : OURS_IS_NEWER;
  }
  if (isDisputed(known, received)) return DISPUTED;
  if (received.version > known.version) return acceptNewer(chart, known, received);
  if (received.state === known.state) return NOTHING_NEW;
  if (RANK[received.state] < RANK[known.state]) return OURS_IS_NEWER;
  return acceptNewer(chart, known, received);
}

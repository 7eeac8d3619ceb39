/**
 * The tuning of membership: intervals, timeouts and size limits, with their defaults.
 */

/** Times are in ms; counts are for one message unless stated otherwise. */
export interface MembershipTuning {
  /** Time between two rounds; each probes one daemon of the fleet and gossips with one of the data centre. */
  gossipIntervalMilliseconds: number;
  /** Timeout of a probe: covers three round trips between regions, for connection, handshake and call. */
  probeTimeoutMilliseconds: number;
  /** Daemons that are asked to make an indirect probe of one that did not answer. */
  indirectProbes: number;
  /** Suspicion timeout in rounds for a fleet of up to ten; grows with the decimal logarithm of its size. */
  suspicionRounds: number;
  /** Suspicion timeout if the host refuses connections, or the platform lists the instance as leaving. */
  shortSuspicionMilliseconds: number;
  /** Time between two calls that try to reach a dead daemon, or seeds if no other daemon is present. */
  reviveIntervalMilliseconds: number;
  /** How long dead daemons are kept: longer than a network partition between regions lasts. */
  forgetDeadAfterMilliseconds: number;
  /** A longer gap between two messages or clock ticks means that this process was paused. */
  awayThresholdMilliseconds: number;
  /** A daemon that joins or stepped back acts without peers after this time. */
  giveUpAfterMilliseconds: number;
  recordsPerMessage: number;
  recordsPerComparison: number;
  newsPerMessage: number;
  summariesPerMessage: number;
  /** Exchanges with different hashes before records are compared: changes need some time to spread. */
  differencesBeforeComparison: number;
  /** Daemons of the data centre that are called at once about a new revision. */
  revisionFanOut: number;
  /** Daemons that are called in one round because some daemons see them as dead and others as alive. */
  disputesPerRound: number;
  /** Daemons that are called at once when this daemon leaves or was paused. */
  urgentFanOut: number;
}

/**
 * The defaults; docs/design/membership.md has the results of `npm run measure -- control` with these values.
 */
export const DEFAULT_MEMBERSHIP_TUNING: MembershipTuning = {
  gossipIntervalMilliseconds: 1_000,
  probeTimeoutMilliseconds: 1_000,
  indirectProbes: 3,
  suspicionRounds: 3,
  shortSuspicionMilliseconds: 1_500,
  reviveIntervalMilliseconds: 10_000,
  forgetDeadAfterMilliseconds: 6 * 60 * 60 * 1_000,
  awayThresholdMilliseconds: 4_000,
  giveUpAfterMilliseconds: 5_000,
  recordsPerMessage: 48,
  recordsPerComparison: 64,
  newsPerMessage: 16,
  summariesPerMessage: 4,
  differencesBeforeComparison: 20,
  revisionFanOut: 2,
  disputesPerRound: 4,
  urgentFanOut: 4,
};

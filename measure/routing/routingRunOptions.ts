/**
 * What one run of the routing measurement is made of.
 */

/** Policies that are compared. */
export const POLICY_NAMES = [
  'design',
  'hashExactBound',
  'localBound',
  'leastLoadedByReports',
  'hashOnly',
] as const;

/** See {@link POLICY_NAMES}. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** One run. */
export interface RoutingRunOptions {
  readonly policy: PolicyName;
  readonly bound: number;
  readonly daemons: number;
  readonly runners: number;
  readonly dataCentres: number;
  readonly seed: number;
  /** Age of every load that anybody hears, in s. */
  readonly reportLagSeconds: number;
  /** Daemons learn of a change at a moment of their own within this time, in s. */
  readonly listLagSeconds: number;
  /** Runners that join or leave, a minute and 100 runners. */
  readonly churn: number;
  /** Share of all requests that one account makes on 40 chats in the middle third of the run. */
  readonly surge: number;
  /** Share of cache events that get lost. */
  readonly eventLoss: number;
  /** Daemons that die and come back empty, a minute and 100 daemons. */
  readonly daemonRestarts: number;
  /** Daemons that stand still for some seconds, a minute and 100 daemons. */
  readonly daemonPauses: number;
  /** Daemons that are told where a chat is warm. */
  readonly homes: number;
  readonly requestsPerRunnerSecond: number;
  /** Tokens that a runner's prefix cache holds. */
  readonly cacheTokens: number;
  readonly warmUpSeconds: number;
  readonly measuredSeconds: number;
  readonly warmChoices: number;
  readonly coldChoices: number;
  readonly reuseWeight: number;
}

/** Fault rates above those of normal operation: restarts are thirty times as frequent as expected. */
export const DEFAULT_RUN: RoutingRunOptions = {
  policy: 'design',
  bound: 1.25,
  daemons: 130,
  runners: 100,
  dataCentres: 3,
  seed: 1,
  reportLagSeconds: 1,
  listLagSeconds: 3,
  churn: 6.7,
  surge: 0.3,
  eventLoss: 0.05,
  daemonRestarts: 1,
  daemonPauses: 0,
  homes: 1,
  requestsPerRunnerSecond: 5,
  cacheTokens: 400_000,
  warmUpSeconds: 40,
  measuredSeconds: 30,
  warmChoices: 8,
  coldChoices: 4,
  reuseWeight: 0.8,
};

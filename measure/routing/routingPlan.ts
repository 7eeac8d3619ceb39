/**
 * Which runs the routing measurement makes.
 */
import { DEFAULT_RUN, POLICY_NAMES } from './routingRunOptions.js';
import type { PolicyName, RoutingRunOptions } from './routingRunOptions.js';

/** Bounds of the frontier of reuse against skew. */
const FRONTIER_BOUNDS = [1.05, 1.1, 1.25, 1.5, 2];
const USUAL_BOUND = 1.25;

/** Runners of one pool: today's of one firm, and a third of a pool of the two-year size. */
const SIZES = [
  { daemons: 8, runners: 13 },
  { daemons: 130, runners: 100 },
];

/** What the command line asks for; what is missing takes its usual values. */
export interface RoutingPlanOptions {
  readonly daemons?: number | undefined;
  readonly runners?: number | undefined;
  readonly bounds?: readonly number[] | undefined;
  readonly policies?: readonly PolicyName[] | undefined;
  /** Everything else, the same for each run. */
  readonly common: Partial<RoutingRunOptions>;
}

function sizesOf({ daemons, runners }: RoutingPlanOptions): typeof SIZES {
  if (daemons === undefined && runners === undefined) return SIZES;
  const known = SIZES.find((size) => size.daemons === daemons);
  const usual = SIZES.at(-1)!;
  return [
    {
      daemons: daemons ?? usual.daemons,
      runners: runners ?? known?.runners ?? usual.runners,
    },
  ];
}

/**
 * Plans the runs: the design over all bounds, the baselines at the usual one.
 *
 * @param options - what was asked for.
 * @returns The runs, in the order of the table.
 */
export function planRouting(options: RoutingPlanOptions): RoutingRunOptions[] {
  const { bounds, policies = POLICY_NAMES, common } = options;
  return sizesOf(options).flatMap((size) =>
    policies.flatMap((policy) => {
      const usual = policy === 'design' ? FRONTIER_BOUNDS : [USUAL_BOUND];
      return (bounds ?? usual).map((bound) => ({
        ...DEFAULT_RUN,
        ...common,
        ...size,
        policy,
        bound,
      }));
    }),
  );
}

/**
 * Messages and actions of all decisions for one pool in one data centre.
 */
import type { LeaseAction, LeaseMessage } from './leaseTypes.js';
import type { RolloutAction, RolloutMessage } from './rolloutTypes.js';

/** Input of a pool's decisions. The authority is left out, because the lease decisions provide it. */
export type OrderMessage = LeaseMessage | Exclude<RolloutMessage, { kind: 'authority' }>;

/** Output of a pool's decisions. */
export type OrderAction = LeaseAction | RolloutAction;

/**
 * Maps the feature in a session's header to the decision class that `baobabdock replay` runs.
 */
import { LocateDecisions } from '../callers/LocateDecisions.js';
import { replayedConfiguration } from '../configuration/replayedConfiguration.js';
import type { Decisions, HasKind } from '../decisions/Decisions.js';
import { GateDecisions } from '../gates/GateDecisions.js';
import { ChatHomeDecisions } from '../homes/ChatHomeDecisions.js';
import { replayedMembership } from '../membership/replayedMembership.js';
import { OrderDecisions } from '../orders/OrderDecisions.js';
import type { OrderDecisionsOptions } from '../orders/OrderDecisions.js';
import { replayedRequest } from '../requests/replayedRequest.js';
import { PlacementDecisions } from '../routing/PlacementDecisions.js';

/** Decision class whose messages are read from a file. */
export type ReplayedDecisions = Decisions<HasKind, HasKind>;

/** Creates a decision class from the options in a session's header. */
export type ReplayFactory = (options: Readonly<Record<string, unknown>>) => ReplayedDecisions;

/** One entry per class. The messages of a session must be JSON data of the class's message type. */
export const REPLAY_REGISTRY: Readonly<Record<string, ReplayFactory>> = {
  callers: (options) => new LocateDecisions(options),
  configuration: replayedConfiguration,
  gates: (options) => new GateDecisions(options),
  homes: (options) => new ChatHomeDecisions(options),
  membership: replayedMembership,
  orders: (options) => new OrderDecisions(options as unknown as OrderDecisionsOptions),
  requests: replayedRequest,
  routing: (options) => new PlacementDecisions(options),
};

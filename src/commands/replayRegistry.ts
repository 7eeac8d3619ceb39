/**
 * The decision classes that `baobabdock replay` can run, by the feature that a session names.
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

/** Decisions whose messages come from a file. */
export type ReplayedDecisions = Decisions<HasKind, HasKind>;

/** Makes new decisions from the options in a session's first line. */
export type ReplayFactory = (options: Readonly<Record<string, unknown>>) => ReplayedDecisions;

/** One line for each class; a session's messages must be JSON data of its message type. */
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

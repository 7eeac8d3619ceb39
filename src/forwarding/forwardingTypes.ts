/**
 * What the parts of the forwarding path share.
 */
import type { Log } from '../logging/Log.js';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { HomeRegions } from '../routes/homes.js';
import type { RouteTable } from '../routes/RouteTable.js';
import type { Route } from '../routes/routeTypes.js';
import type { RunnerSelector } from '../runners/RunnerSelector.js';
import type { Unavailability } from '../runners/unavailability.js';
import type { Clock } from '../time/Clock.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { LinkCheck } from './LinkCheck.js';
import type { RunnerConnections } from './RunnerConnections.js';
import type { RunnerProtocol } from './RunnerProtocol.js';
import type { RunnerStatements } from './RunnerStatements.js';
import type { SharedRetryBudget } from './SharedRetryBudget.js';

/** What every request of a daemon works with. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly protocol: RunnerProtocol;
  readonly metrics: ForwardingMetrics;
  readonly selector: RunnerSelector;
  readonly connections: RunnerConnections;
  readonly budget: SharedRetryBudget;
  readonly link: LinkCheck;
  readonly quarantine: RequestQuarantine;
  readonly statements: RunnerStatements;
  /** Why no runner takes a request. */
  readonly unavailabilityOf: (
    request: Pick<AdmittedRequest, 'service' | 'homeRegions'>,
    now: number,
  ) => Unavailability;
  /** The configuration in force, or `undefined` before the first one is known. */
  readonly routes: () => RouteTable | undefined;
  /** Daemons that share the runners' connections, this one too. */
  readonly daemons: () => number;
  /** Whether the store does not answer, so that a first configuration may take a while. */
  readonly isStoreSilent: () => boolean;
  /** How far a planned stop has come. */
  readonly stopPhase: () => StopPhase;
}

/** `serving`; `leaving`: answers end their connections; `closing`: new requests are refused as well. */
export type StopPhase = 'serving' | 'leaving' | 'closing';

/** A request that the configuration allows, read whole. */
export interface AdmittedRequest {
  /** The caller's id of this attempt, or one of ours where it sent none. */
  readonly id: string;
  /** Whether runners have to echo the id. */
  readonly hasOwnId: boolean;
  readonly route: Route;
  readonly service: string;
  readonly clientAccount: string | undefined;
  /** Regions whose runners may run it; `undefined` where all may. */
  readonly homeRegions: HomeRegions;
  readonly configurationVersion: number;
  readonly method: string;
  /** Path with the query, unchanged. */
  readonly target: string;
  /** Flat; what passes from the caller, with what does not change between attempts. */
  readonly headers: readonly string[];
  readonly sharedParts: readonly string[];
  /** Monotonic ms. */
  readonly arrivedAt: number;
  /** Monotonic ms: the caller's deadline or the route's timeout, whichever is first. */
  readonly deadlineAt: number;
  /** Connections that this daemon may have to one runner of the service. */
  readonly connectionLimit: number;
}

/**
 * Types that the modules of the forwarding path share.
 */
import type { WorkObserver } from '../capacity/AttemptWork.js';
import type { RequestWork } from '../capacity/capacityTypes.js';
import type { HandOverTask } from '../handover/HandOverTask.js';
import type { Log } from '../logging/Log.js';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { HomeRegions } from '../routes/homeRegions.js';
import type { RouteTable } from '../routes/RouteTable.js';
import type { Route } from '../routes/routeTypes.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerSelector } from '../runners/RunnerSelector.js';
import type { Unavailability } from '../runners/unavailability.js';
import type { LifeChecks } from '../streamVersions/LifeChecks.js';
import type { StreamVersionTask } from '../streamVersions/StreamVersionTask.js';
import type { AnnouncedRevision } from '../sync/StoreFollower.js';
import type { Clock } from '../time/Clock.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import type { LinkCheck } from './LinkCheck.js';
import type { RunnerConnections } from './RunnerConnections.js';
import type { RunnerProtocol } from './RunnerProtocol.js';
import type { RunnerNotices } from './RunnerNotices.js';
import type { SharedRetryBudget } from './SharedRetryBudget.js';

/** Dependencies and state that all requests of a daemon share. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly protocol: RunnerProtocol;
  readonly metrics: ForwardingMetrics;
  readonly selector: RunnerSelector;
  readonly connections: RunnerConnections;
  readonly budget: SharedRetryBudget;
  readonly link: LinkCheck;
  /** Hands requests over to other daemons; missing for requests that were handed over to this one. */
  readonly handOver?: HandOverTask | undefined;
  /** Knows which software version began each stream; without it, a stream is bound within one answer only. */
  readonly streamVersions?: StreamVersionTask | undefined;
  /** Called when the instance of a runner refuses a connection. */
  readonly onConnectionRefused?: (runner: Runner) => void;
  /** Called when the connection of a request is lost before its answer is complete. */
  readonly onConnectionBroken?: (runner: Runner) => void;
  /** Asks runners which incarnation they are before streams go on there; without it, their entries count. */
  readonly lifeChecks?: Pick<LifeChecks, 'check'> | undefined;
  readonly quarantine: RequestQuarantine;
  readonly statements: RunnerNotices;
  /** Learns the speed of runners from attempts; missing if runners are chosen by counts only. */
  readonly workObserver?: WorkObserver | undefined;
  /** Determines why no runner can take a request. `now` is in monotonic ms. */
  readonly unavailabilityOf: (
    request: Pick<AdmittedRequest, 'service' | 'homeRegions'> & {
      readonly softwareVersion?: string | undefined;
    },
    now: number,
  ) => Unavailability;
  /** Route table of the configuration in force, or `undefined` until the first one is known. */
  readonly routes: () => RouteTable | undefined;
  /** Number of daemons that share the runners' connections, including this one. */
  readonly daemons: () => number;
  /** Whether the store is unresponsive, so that the first configuration may be delayed. */
  readonly isStoreSilent: () => boolean;
  /** Whether another daemon is known to have a newer configuration than this one. */
  readonly isConfigurationBehind: () => boolean;
  /** A newer state of the store that another daemon has announced and this one does not know yet. */
  readonly unreachedAnnouncement: () => AnnouncedRevision | undefined;
  /** Current phase of a planned stop. */
  readonly stopPhase: () => StopPhase;
}

/**
 * Phase of a planned stop. `serving`: normal operation; `leaving`: each answer closes its connection; `closing`: new
 * requests are refused as well.
 */
export type StopPhase = 'serving' | 'leaving' | 'closing';

/** A stream that broke off, and that its caller takes up with another request. */
export interface TakenUpStream {
  /** Id of the attempt that brought its first event; `undefined` if the caller does not name it. */
  readonly id: string | undefined;
}

/** A request that the configuration allows, with everything that forwarding needs to know of its head. */
export interface AdmittedRequest {
  /** Id that the caller sent for this attempt, or a generated one if it sent none. */
  readonly id: string;
  /** Whether the caller sent the id itself, in which case runners have to echo it. */
  readonly hasOwnId: boolean;
  readonly route: Route;
  readonly service: string;
  readonly clientAccount: string | undefined;
  /** Regions whose runners may run the request; `undefined` if all may. */
  readonly homeRegions: HomeRegions;
  readonly configurationVersion: number;
  readonly method: string;
  /** Path and query, as received. */
  readonly target: string;
  /** Flat list of names and values: the caller's forwarded headers and those that are the same for each attempt. */
  readonly headers: readonly string[];
  /** Ids of the segments of the prompt that other requests share, the outermost first; see `promptSegments`. */
  readonly sharedParts: readonly string[];
  /** Reads the ids of all shared parts from the head, which are too many to be kept. */
  readonly allSharedParts: () => readonly string[];
  /** Tokens of its prompt and answer; missing if the caller does not state them. */
  readonly work?: RequestWork | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** The stream that the caller takes up with this request; missing for new ones and requests of other kinds. */
  readonly takesUp?: TakenUpStream | undefined;
  /** When the request arrived, monotonic ms. */
  readonly arrivedAt: number;
  /** The caller's deadline or the route's timeout, whichever is earlier; monotonic ms. */
  readonly deadlineAt: number;
  /** Maximum number of connections from this daemon to one runner of the service. */
  readonly connectionLimit: number;
}

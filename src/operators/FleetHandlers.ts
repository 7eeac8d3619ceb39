/**
 * Operators' calls about daemons and runners: status, metrics, drains, and waiting for a revision to be in force.
 */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';

import type { FleetView } from '../fleet/FleetView.js';
import type { Drain } from '../generated/baobabdock/v1/configuration_pb.js';
import { DrainSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type {
  ChangeResponse,
  DrainRequest,
  FleetService,
  LiftDrainRequest,
  ReadMetricsRequest,
  ReadMetricsResponse,
  StatusRequest,
  StatusResponse,
  WaitInForceRequest,
  WaitInForceResponse,
} from '../generated/baobabdock/v1/operators_pb.js';
import {
  ReadMetricsResponseSchema,
  WaitInForceResponseSchema,
} from '../generated/baobabdock/v1/operators_pb.js';
import type { Clock } from '../time/Clock.js';
import type { ChangeSubmitter } from './ChangeSubmitter.js';
import { daemonRevisions } from './daemonRevisions.js';
import { daemonStatus, fleetStatus } from './fleetStatus.js';
import type { GateStatusSource } from './GateStatusSource.js';
import { authenticatedOperator, checkOrigin } from './operatorContext.js';
import { invalidFieldError, notFoundError } from './operatorErrors.js';
import { drainName, entityOf } from './resourceKinds.js';

/** Longest wait for a revision if the request does not set one. */
const DEFAULT_WAIT_MILLISECONDS = 10_000;

/**
 * Interval between two checks of the daemons' revisions. A revision takes seconds to reach all daemons; one check costs
 * far less than this interval.
 */
const REVISION_POLL_INTERVAL_MILLISECONDS = 100;

/** Waits for a time, or until the signal is aborted. */
export type Pause = (milliseconds: number, signal: AbortSignal) => Promise<void>;

/** Options of {@link FleetHandlers}. */
export interface FleetHandlersOptions {
  fleet: FleetView;
  gates: GateStatusSource;
  /** Returns this daemon's metrics page. */
  metricsPage: () => string;
  submitter: ChangeSubmitter;
  clock: Clock;
  pause: Pause;
  /** Longest time that one call waits, in milliseconds. */
  maximumWaitMilliseconds: number;
}

/** Handlers of the operators' calls about the fleet. */
export class FleetHandlers implements ServiceImpl<typeof FleetService> {
  private readonly options: FleetHandlersOptions;

  /**
   * @param options - the view of the fleet, the submitter of drains, the clock and limits.
   */
  constructor(options: FleetHandlersOptions) {
    this.options = options;
  }

  status = (request: StatusRequest, context: HandlerContext): StatusResponse => {
    authenticatedOperator(context);
    const { fleet, gates } = this.options;
    if (request.service !== '' && !fleet.service(request.service)) {
      throw notFoundError('service', request.service);
    }
    return fleetStatus(fleet, gates.gateReadings(), request.service);
  };

  readMetrics = (_request: ReadMetricsRequest, context: HandlerContext): ReadMetricsResponse => {
    authenticatedOperator(context);
    const { fleet, metricsPage } = this.options;
    return create(ReadMetricsResponseSchema, {
      daemonId: fleet.self().daemonId,
      page: metricsPage(),
    });
  };

  drain = async (request: DrainRequest, context: HandlerContext): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const { kind, id } = request;
    const incarnation = this.incarnationOf(kind, id);
    const drain = create(DrainSchema, {
      kind,
      id,
      incarnation,
      requestedBy: origin.author,
      reason: origin.comment,
    });
    return this.changeDrain(origin, drain, drain);
  };

  liftDrain = async (
    request: LiftDrainRequest,
    context: HandlerContext,
  ): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    return this.changeDrain(origin, request, undefined);
  };

  waitInForce = async (
    request: WaitInForceRequest,
    context: HandlerContext,
  ): Promise<WaitInForceResponse> => {
    authenticatedOperator(context);
    const { fleet, clock, pause, maximumWaitMilliseconds } = this.options;
    const wanted = request.timeoutMilliseconds || DEFAULT_WAIT_MILLISECONDS;
    const started = clock.monotonicMilliseconds();
    const end = started + Math.min(wanted, maximumWaitMilliseconds);
    const { revision } = request;
    for (;;) {
      const now = clock.monotonicMilliseconds();
      const serving = daemonRevisions(fleet);
      const behind = serving.filter((daemon) => daemon.revision < revision);
      const inForce = behind.length === 0;
      if (inForce || now >= end || context.signal.aborted) {
        const { drains } = fleet.configuration();
        return create(WaitInForceResponseSchema, {
          inForce,
          lagging: behind.map((daemon) => daemonStatus(daemon, revision, drains)),
          daemons: serving.length,
          waitedMilliseconds: Math.round(now - started),
        });
      }
      await pause(Math.min(REVISION_POLL_INTERVAL_MILLISECONDS, end - now), context.signal);
    }
  };

  private changeDrain(
    origin: ReturnType<typeof checkOrigin>,
    target: Pick<Drain, 'kind' | 'id'>,
    wanted: Drain | undefined,
  ): Promise<ChangeResponse> {
    const name = drainName(target);
    return this.options.submitter.modify({
      origin,
      kind: 'drain',
      name,
      field: 'id',
      modify: (current) => {
        if (wanted) return entityOf({ case: 'drain', value: wanted });
        if (!current) throw notFoundError('drain', name);
        return undefined;
      },
    });
  }

  private incarnationOf(kind: string, id: string): bigint {
    const { fleet } = this.options;
    if (kind === 'daemon') {
      const member = fleet.members().find(({ daemonId }) => daemonId === id);
      if (!member) throw notFoundError(kind, id);
      return member.incarnation;
    }
    if (kind === 'runner') {
      const runner = fleet.runner(id);
      if (!runner) throw notFoundError(kind, id);
      return runner.record.incarnation;
    }
    throw invalidFieldError('kind', 'has to be daemon or runner');
  }
}

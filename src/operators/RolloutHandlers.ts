/**
 * Operators' calls that start, halt, resume, roll back and list roll-outs of model versions.
 */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';

import type { FleetView } from '../fleet/FleetView.js';
import { Findings } from '../findings/Findings.js';
import type { ConfigurationEntity } from '../generated/baobabdock/v1/changes_pb.js';
import type { Rollout } from '../generated/baobabdock/v1/configuration_pb.js';
import { RolloutSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type {
  ChangeResponse,
  ListRolloutsRequest,
  ListRolloutsResponse,
  RolloutService,
  StartRolloutRequest,
  SteerRolloutRequest,
} from '../generated/baobabdock/v1/operators_pb.js';
import { ListRolloutsResponseSchema } from '../generated/baobabdock/v1/operators_pb.js';
import type { ChangeSubmitter } from './ChangeSubmitter.js';
import type { ConfigurationChanges } from './ConfigurationChanges.js';
import { authenticatedOperator, checkOrigin } from './operatorContext.js';
import { invalidArgumentError, invalidFieldError, notFoundError } from './operatorErrors.js';
import { entityOf } from './resourceKinds.js';
import type { RolloutAction } from './rolloutActions.js';
import { ROLLOUT_ACTIONS, applyRolloutAction } from './rolloutActions.js';

/** Largest share of a pool's runners that may be unavailable at once, if the request does not set it. */
const DEFAULT_MAXIMUM_UNAVAILABLE_SHARE = 0.25;
/** Number of failures at which a roll-out halts, if the request does not set it. */
const DEFAULT_MAXIMUM_FAILURES = 1;

/** States of a roll-out that is not finished. The service cannot start another one. */
const UNFINISHED_STATES: ReadonlySet<string> = new Set(['running', 'halted', 'rolling_back']);

/** Options of {@link RolloutHandlers}. */
export interface RolloutHandlersOptions {
  changes: ConfigurationChanges;
  submitter: ChangeSubmitter;
  fleet: FleetView;
}

function rolloutOf(entity: ConfigurationEntity | undefined, name: string): Rollout {
  if (entity?.entity.case !== 'rollout') throw notFoundError('rollout', name);
  return entity.entity.value;
}

function unsuitableActionError(rollout: Rollout, action: RolloutAction): ConnectError {
  return new ConnectError(
    `The roll-out is ${rollout.state.replace('_', ' ')}; it cannot be told to ${action.replace('_', ' ')}.`,
    Code.FailedPrecondition,
  );
}

/** Handlers of the operators' calls about roll-outs. */
export class RolloutHandlers implements ServiceImpl<typeof RolloutService> {
  private readonly changes: ConfigurationChanges;

  private readonly submitter: ChangeSubmitter;

  private readonly fleet: FleetView;

  /**
   * @param options - the configuration that holds the roll-outs, the submitter of changes and the view of the fleet.
   */
  constructor({ changes, submitter, fleet }: RolloutHandlersOptions) {
    this.changes = changes;
    this.submitter = submitter;
    this.fleet = fleet;
  }

  startRollout = async (
    request: StartRolloutRequest,
    context: HandlerContext,
  ): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const rollout = this.newRollout(request);
    return this.submitter.modify({
      origin,
      kind: 'rollout',
      name: rollout.name,
      field: 'service',
      modify: (current) => {
        const before = current?.entity.case === 'rollout' ? current.entity.value : undefined;
        if (before && UNFINISHED_STATES.has(before.state)) {
          throw new ConnectError(
            `A roll-out of ${before.service} to ${before.toVersion} is ${before.state}; halt and roll it back, or let it finish.`,
            Code.FailedPrecondition,
          );
        }
        return entityOf({ case: 'rollout', value: rollout });
      },
    });
  };

  steerRollout = async (
    request: SteerRolloutRequest,
    context: HandlerContext,
  ): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const { name } = request;
    const action = ROLLOUT_ACTIONS.find((known) => known === request.action);
    if (!action)
      throw invalidFieldError('action', `has to be one of ${ROLLOUT_ACTIONS.join(', ')}`);
    return this.submitter.modify({
      origin,
      kind: 'rollout',
      name,
      field: 'name',
      modify: (current) => {
        const before = rolloutOf(current, name);
        const rollout = applyRolloutAction(before, action);
        if (!rollout) throw unsuitableActionError(before, action);
        rollout.reason = origin.comment || `${action.replace('_', ' ')} by ${origin.author}`;
        return entityOf({ case: 'rollout', value: rollout });
      },
    });
  };

  listRollouts = (request: ListRolloutsRequest, context: HandlerContext): ListRolloutsResponse => {
    authenticatedOperator(context);
    const rollouts = this.changes
      .entities('rollout')
      .flatMap(({ entity }) => (entity.case === 'rollout' ? entity.value : []))
      .filter(({ service }) => request.service === '' || service === request.service);
    return create(ListRolloutsResponseSchema, { rollouts });
  };

  private newRollout(request: StartRolloutRequest): Rollout {
    const findings = new Findings();
    const service = this.fleet.service(request.service);
    if (!service) throw notFoundError('service', request.service);
    if (service.kind !== 'engine') findings.add({ field: 'service' }, 'is not a pool of engines');
    const versions = this.fleet.configuration().modelVersions;
    const wanted = versions.find(
      ({ model, version }) => model === service.model && version === request.toVersion,
    );
    if (!wanted) findings.add({ field: 'toVersion' }, `is no version of ${service.model}`);
    if (wanted?.state === 'withdrawn') findings.add({ field: 'toVersion' }, 'is withdrawn');
    const share = request.maximumUnavailableShare || DEFAULT_MAXIMUM_UNAVAILABLE_SHARE;
    if (!(share > 0 && share <= 1)) {
      findings.add({ field: 'maximumUnavailableShare' }, 'has to be above 0 and at most 1');
    }
    const dataCentres = this.dataCentresOf(request, findings);
    if (findings.hasAny) throw invalidArgumentError(findings.list());
    return create(RolloutSchema, {
      name: service.name,
      service: service.name,
      fromVersion: service.wantedVersion,
      toVersion: request.toVersion,
      state: 'running',
      maximumUnavailableShare: share,
      maximumFailures: request.maximumFailures || DEFAULT_MAXIMUM_FAILURES,
      dataCentres,
    });
  }

  private dataCentresOf(request: StartRolloutRequest, findings: Findings): string[] {
    const runners = this.fleet.runners(request.service);
    const known = [...new Set(runners.map(({ record }) => record.dataCentre))].sort();
    if (request.dataCentres.length === 0) return known;
    request.dataCentres.forEach((dataCentre, position) => {
      if (known.includes(dataCentre)) return;
      const place = { field: `dataCentres[${position}]` };
      findings.add(place, `has no runner of ${request.service}; known are ${known.join(', ')}`);
    });
    // Data centres that the request does not name come last. A roll-out that left one out would never finish.
    const rest = known.filter((dataCentre) => !request.dataCentres.includes(dataCentre));
    return [...request.dataCentres, ...rest];
  }
}

/**
 * Operators' calls about resources: client accounts, services, model versions and routing policies.
 */
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';

import { Findings } from '../findings/Findings.js';
import type { ConfigurationEntity } from '../generated/baobabdock/v1/changes_pb.js';
import { EntityEditSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type {
  ApplyRequest,
  ChangeRequest,
  ChangeResponse,
  CreateRequest,
  HistoryRequest,
  HistoryResponse,
  ListRequest,
  ListResponse,
  ReadRequest,
  ReadResponse,
  RemoveRequest,
  ResourceService,
} from '../generated/baobabdock/v1/operators_pb.js';
import {
  HistoryResponseSchema,
  ListResponseSchema,
  ReadResponseSchema,
} from '../generated/baobabdock/v1/operators_pb.js';
import type { ChangeSubmitter, EditWithField } from './ChangeSubmitter.js';
import type { ConfigurationChanges } from './ConfigurationChanges.js';
import { historyEntryOf, editsEntity } from './historyEntries.js';
import { authenticatedOperator, checkOrigin } from './operatorContext.js';
import { invalidArgumentError, notFoundError } from './operatorErrors.js';
import {
  checkKind,
  checkResource,
  checkVersionUnchanged,
  keepAccountKeys,
  createUpsert,
} from './resourceChecks.js';
import type { ResourceContent } from './resourceKinds.js';
import { entityOf, entityKeyOf, resourceOf } from './resourceKinds.js';

/** Number of resources that a list returns if the request does not set one. */
const DEFAULT_LIST_MAXIMUM = 1000;
/** Largest number of resources that a list returns. */
const MAXIMUM_LIST = 10_000;
/** Number of history entries that are returned if the request does not set one. */
const DEFAULT_HISTORY_MAXIMUM = 50;
/** Largest number of changes that are read and returned. */
const MAXIMUM_HISTORY = 1000;
/** Largest number of resources in one request of `apply`. */
const MAXIMUM_RESOURCES_OF_ONE_CHANGE = 1000;

/** Options of {@link ResourceHandlers}. */
export interface ResourceHandlersOptions {
  changes: ConfigurationChanges;
  submitter: ChangeSubmitter;
}

function checkedValueOf(resource: CreateRequest['resource']): ResourceContent {
  const findings = new Findings();
  const value = checkResource(resource, 'resource', findings);
  if (!value) throw invalidArgumentError(findings.list());
  return value;
}

/** Handlers of the operators' calls about resources. They are arrow functions because connect calls them without `this`. */
export class ResourceHandlers implements ServiceImpl<typeof ResourceService> {
  private readonly changes: ConfigurationChanges;

  private readonly submitter: ChangeSubmitter;

  /**
   * @param options - the configuration to read, and the submitter of changes.
   */
  constructor({ changes, submitter }: ResourceHandlersOptions) {
    this.changes = changes;
    this.submitter = submitter;
  }

  create = async (request: CreateRequest, context: HandlerContext): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const value = checkedValueOf(request.resource);
    return this.submitter.submit(origin, [createUpsert(value, 'resource', 0n)], { creating: true });
  };

  change = async (request: ChangeRequest, context: HandlerContext): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const value = checkedValueOf(request.resource);
    const { kind, name } = entityKeyOf(value);
    const { expectedRevision } = request;
    const changed = (current: ConfigurationEntity | undefined) => {
      if (!current) throw notFoundError(kind, name);
      const findings = new Findings();
      checkVersionUnchanged(value, current, 'resource', findings);
      if (findings.hasAny) throw invalidArgumentError(findings.list());
      return keepAccountKeys(value, current);
    };
    if (expectedRevision !== undefined) {
      const kept = changed(this.changes.entity(kind, name));
      return this.submitter.submit(origin, [createUpsert(kept, 'resource', expectedRevision)]);
    }
    const modify = (current: ConfigurationEntity | undefined) => entityOf(changed(current));
    const field = `resource.${value.case}`;
    return this.submitter.modify({ origin, kind, name, field, modify });
  };

  remove = async (request: RemoveRequest, context: HandlerContext): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const findings = new Findings();
    const kind = checkKind(request.kind, findings);
    if (!kind) throw invalidArgumentError(findings.list());
    const { name, expectedRevision } = request;
    if (!this.changes.entity(kind, name)) {
      return this.submitter.answerRepeat(origin, notFoundError(kind, name));
    }
    const edit = create(EntityEditSchema, {
      edit: { case: 'remove', value: { kind, name } },
      ...(expectedRevision !== undefined && { expectedRevision }),
    });
    return this.submitter.submit(origin, [{ edit, field: 'name' }]);
  };

  apply = async (request: ApplyRequest, context: HandlerContext): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const edits = this.editsOf(request);
    return this.submitter.submit(origin, edits, { dryRun: request.dryRun });
  };

  read = (request: ReadRequest, context: HandlerContext): ReadResponse => {
    authenticatedOperator(context);
    const findings = new Findings();
    const kind = checkKind(request.kind, findings);
    if (!kind) throw invalidArgumentError(findings.list());
    const entity = this.changes.entity(kind, request.name);
    const resource = resourceOf(entity);
    if (!entity || !resource) throw notFoundError(kind, request.name);
    const revision = BigInt(this.changes.revision());
    const { changedRevision } = entity;
    return create(ReadResponseSchema, { resource, changedRevision, revision });
  };

  list = (request: ListRequest, context: HandlerContext): ListResponse => {
    authenticatedOperator(context);
    const findings = new Findings();
    const kind = checkKind(request.kind, findings);
    if (!kind) throw invalidArgumentError(findings.list());
    const maximum = Math.min(request.maximum || DEFAULT_LIST_MAXIMUM, MAXIMUM_LIST);
    const resources = this.changes
      .entities(kind)
      .flatMap((entity) => resourceOf(entity) ?? [])
      .filter(({ resource }) => (resource.value?.name ?? '') > request.afterName);
    return create(ListResponseSchema, {
      resources: resources.slice(0, maximum),
      revision: BigInt(this.changes.revision()),
      more: resources.length > maximum,
    });
  };

  history = async (request: HistoryRequest, context: HandlerContext): Promise<HistoryResponse> => {
    authenticatedOperator(context);
    const { kind, name } = request;
    const maximum = Math.min(request.maximum || DEFAULT_HISTORY_MAXIMUM, MAXIMUM_HISTORY);
    const all = kind === '' && name === '';
    const history = await this.changes.history(all ? maximum : MAXIMUM_HISTORY).catch((cause) => {
      const text = 'The history is with the platform, which does not answer.';
      throw new ConnectError(text, Code.Unavailable, undefined, undefined, cause);
    });
    const entries = history.filter((change) => editsEntity(change, kind, name)).slice(0, maximum);
    return create(HistoryResponseSchema, { entries: entries.map(historyEntryOf) });
  };

  private editsOf({ resources }: ApplyRequest): EditWithField[] {
    const findings = new Findings();
    if (resources.length === 0) findings.add({ field: 'resources' }, 'holds nothing to apply');
    if (resources.length > MAXIMUM_RESOURCES_OF_ONE_CHANGE) {
      const most = `holds more than ${MAXIMUM_RESOURCES_OF_ONE_CHANGE}; apply them in parts`;
      findings.add({ field: 'resources' }, most);
      throw invalidArgumentError(findings.list());
    }
    const seen = new Map<string, string>();
    const edits = resources.flatMap((resource, position) => {
      const field = `resources[${position}]`;
      const value = checkResource(resource, field, findings);
      if (!value) return [];
      const { kind, name } = entityKeyOf(value);
      const earlier = seen.get(`${kind}/${name}`);
      if (earlier) {
        findings.add({ field: `${field}.${value.case}.name` }, `stands in ${earlier} already`);
        return [];
      }
      seen.set(`${kind}/${name}`, field);
      const current = this.changes.entity(kind, name);
      checkVersionUnchanged(value, current, field, findings);
      return createUpsert(keepAccountKeys(value, current), field, current?.changedRevision ?? 0n);
    });
    if (findings.hasAny) throw invalidArgumentError(findings.list());
    return edits;
  }
}

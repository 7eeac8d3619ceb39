/**
 * Operators' calls about the keys of client accounts.
 */
import { clone, create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';

import { createKey } from '../callers/accountKeys.js';
import type { ConfigurationEntity } from '../generated/baobabdock/v1/changes_pb.js';
import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import { ClientAccountSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type {
  ChangeResponse,
  CreateKeyRequest,
  CreateKeyResponse,
  KeyService,
  RemoveKeyRequest,
} from '../generated/baobabdock/v1/operators_pb.js';
import { CreateKeyResponseSchema } from '../generated/baobabdock/v1/operators_pb.js';
import type { Log } from '../logging/Log.js';
import type { ChangeSubmitter } from './ChangeSubmitter.js';
import { checkOrigin } from './operatorContext.js';
import { invalidFieldError, notFoundError } from './operatorErrors.js';
import { operatorsFeature } from './operatorsFeature.js';
import { entityOf } from './resourceKinds.js';

/**
 * Enough for old and new keys to be valid together during a replacement. Each request is checked against all keys of its
 * account, so more would slow requests down.
 */
const MAXIMUM_KEYS_PER_ACCOUNT = 8;

/** Options of {@link KeyHandlers}. */
export interface KeyHandlersOptions {
  submitter: ChangeSubmitter;
  log: Log;
}

function accountOf(entity: ConfigurationEntity | undefined, name: string): ClientAccount {
  if (entity?.entity.case !== 'clientAccount') throw notFoundError('client_account', name);
  return clone(ClientAccountSchema, entity.entity.value);
}

function entityOfAccount(account: ClientAccount): ConfigurationEntity {
  return entityOf({ case: 'clientAccount', value: account });
}

/** Handlers of the operators' calls about keys. */
export class KeyHandlers implements ServiceImpl<typeof KeyService> {
  private readonly submitter: ChangeSubmitter;

  private readonly log: Log;

  /**
   * @param options - the submitter of changes, and the log.
   */
  constructor({ submitter, log }: KeyHandlersOptions) {
    this.submitter = submitter;
    this.log = log;
  }

  createKey = async (
    request: CreateKeyRequest,
    context: HandlerContext,
  ): Promise<CreateKeyResponse> => {
    const origin = checkOrigin(context, request.origin);
    const name = request.clientAccount;
    const { key, stored } = createKey(name);
    const { keyId, salt, digest } = stored;
    const answer = await this.submitter.modify({
      origin,
      kind: 'client_account',
      name,
      field: 'clientAccount',
      modify: (current) => {
        const account = accountOf(current, name);
        if (account.keys.length >= MAXIMUM_KEYS_PER_ACCOUNT) {
          throw invalidFieldError(
            'clientAccount',
            `has ${MAXIMUM_KEYS_PER_ACCOUNT} keys; remove one first`,
          );
        }
        account.keys = [
          ...account.keys,
          { $typeName: 'baobabdock.v1.HashedKey', keyId, salt, digest },
        ];
        return entityOfAccount(account);
      },
    });
    if (answer.repeated) {
      // The earlier call stored the hash of another key. That key was not kept and cannot be shown again.
      throw new ConnectError(
        'This change made its key already and the key is shown only once. Make another with a new change id.',
        Code.AlreadyExists,
      );
    }
    this.log.write(operatorsFeature.logEvents.keyCreated, {
      clientAccount: name,
      keyId,
      operator: origin.author,
    });
    return create(CreateKeyResponseSchema, { keyId, key, revision: answer.revision });
  };

  removeKey = async (
    request: RemoveKeyRequest,
    context: HandlerContext,
  ): Promise<ChangeResponse> => {
    const origin = checkOrigin(context, request.origin);
    const { clientAccount: name, keyId } = request;
    return this.submitter.modify({
      origin,
      kind: 'client_account',
      name,
      field: 'clientAccount',
      modify: (current) => {
        const account = accountOf(current, name);
        const left = account.keys.filter((key) => key.keyId !== keyId);
        if (left.length === account.keys.length) throw notFoundError('key', keyId);
        account.keys = left;
        return entityOfAccount(account);
      },
    });
  };
}

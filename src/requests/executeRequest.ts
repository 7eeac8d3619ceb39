/**
 * Builds the message for a gate from a caller's request and the record of its client account.
 */
import { create } from '@bufbuild/protobuf';

import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import type { ExecuteRequest } from '../generated/baobabdock/v1/peers_pb.js';
import { ExecuteRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { RequestAction } from './requestDecisionTypes.js';
import type { CallerRequest } from './requestTypes.js';

/** Weight in fair queues of a client account that sets none. */
const DEFAULT_ACCOUNT_WEIGHT = 1;

/**
 * @param request - the caller's request.
 * @param account - the record of the client account, if this daemon has it.
 * @param attempt - the attempt to open. Without it the message goes to the daemon of a binding,
 *   which chooses the attempt itself.
 * @returns The message for the gate.
 */
export function executeRequestOf(
  request: CallerRequest,
  account: ClientAccount | undefined,
  attempt?: Extract<RequestAction, { kind: 'attempt' }>,
): ExecuteRequest {
  return create(ExecuteRequestSchema, {
    requestId: request.requestId,
    attemptId: attempt?.attemptId ?? '',
    clientAccount: request.clientAccount,
    service: request.service,
    runnerId: attempt?.runnerId ?? '',
    chat: request.chat,
    priority: request.priority,
    deadlineMilliseconds: attempt?.deadlineMilliseconds ?? Math.floor(request.deadlineMilliseconds),
    idempotent: request.idempotent,
    promptTokens: request.promptTokens,
    cachedTokens: attempt?.cachedTokens ?? 0,
    maximumTokens: request.maximumTokens,
    method: request.method,
    path: request.path,
    headers: request.headers.map(([name, value]) => ({ name, value })),
    body: request.body,
    streaming: request.streaming,
    bound: attempt?.bound ?? 0,
    lastChoice: attempt?.lastChoice ?? false,
    accountWeight: account?.weight || DEFAULT_ACCOUNT_WEIGHT,
    accountMaximumConcurrent: account?.maximumConcurrentRequests ?? 0,
    accountMaximumTokensPerMinute: account?.maximumTokensPerMinute ?? 0,
  });
}

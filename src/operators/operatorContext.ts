/**
 * Who calls, as the handlers of the operators' interface see it.
 */
import type { HandlerContext } from '@connectrpc/connect';
import { Code, ConnectError, createContextKey } from '@connectrpc/connect';

import type { ChangeOrigin } from '../generated/baobabdock/v1/operators_pb.js';
import { invalidArgument } from './operatorErrors.js';
import type { Operator } from './OperatorTokens.js';
import { Findings } from '../findings/Findings.js';

const MAXIMUM_CHANGE_ID_LENGTH = 128;
const MAXIMUM_REASON_LENGTH = 1000;
const CHANGE_ID = /^[A-Za-z0-9._:-]+$/u;

/** Set for each call by the server, before a handler runs. */
export const operatorKey = createContextKey<Operator | undefined>(undefined, {
  description: 'the operator who calls',
});

/**
 * @param context - of a call.
 * @returns The caller.
 * @throws ConnectError `unauthenticated` for a call that came past the server's check.
 */
export function callerOf(context: HandlerContext): Operator {
  const operator = context.values.get(operatorKey);
  if (!operator) throw new ConnectError('No operator is known.', Code.Unauthenticated);
  return operator;
}

/** What a change says of itself, checked. */
export interface CheckedOrigin {
  readonly changeId: string;
  readonly author: string;
  readonly comment: string;
}

/**
 * Checks that the caller may change things and that the change can be recognized when it is repeated.
 *
 * @param context - of the call.
 * @param origin - what the caller sent with the change.
 * @returns The origin with the caller's name.
 * @throws ConnectError `permission_denied` or `invalid_argument`.
 */
export function originOf(context: HandlerContext, origin: ChangeOrigin | undefined): CheckedOrigin {
  const operator = callerOf(context);
  if (operator.role !== 'write') {
    throw new ConnectError(
      `The token of ${operator.name} allows reading only.`,
      Code.PermissionDenied,
    );
  }
  const findings = new Findings();
  const changeId = origin?.changeId ?? '';
  const comment = origin?.reason ?? '';
  if (!CHANGE_ID.test(changeId) || changeId.length > MAXIMUM_CHANGE_ID_LENGTH) {
    findings.add(
      { field: 'origin.changeId' },
      `has to be 1 to ${MAXIMUM_CHANGE_ID_LENGTH} letters, digits, ".", "_", ":" or "-", new for each change`,
    );
  }
  if (comment.length > MAXIMUM_REASON_LENGTH) {
    findings.add({ field: 'origin.reason' }, `has at most ${MAXIMUM_REASON_LENGTH} characters`);
  }
  if (findings.hasAny) throw invalidArgument(findings.list());
  return { changeId, author: operator.name, comment };
}

/**
 * The operator who makes a call, and the checks of the operator's role and of a change's origin.
 */
import type { HandlerContext } from '@connectrpc/connect';
import { Code, ConnectError, createContextKey } from '@connectrpc/connect';

import type { ChangeOrigin } from '../generated/baobabdock/v1/operators_pb.js';
import { invalidArgumentError } from './operatorErrors.js';
import type { Operator } from './OperatorTokens.js';
import { Findings } from '../findings/Findings.js';

/** Largest length of a change id, in characters. */
const MAXIMUM_CHANGE_ID_LENGTH = 128;
/** Largest length of a change's reason, in characters. */
const MAXIMUM_REASON_LENGTH = 1000;
const CHANGE_ID = /^[A-Za-z0-9._:-]+$/u;

/** Context key of the operator. The server sets it for each call, before a handler runs. */
export const operatorContextKey = createContextKey<Operator | undefined>(undefined, {
  description: 'the operator who calls',
});

/**
 * Returns the operator who makes a call. The server refuses calls without a token before; this guards a handler that is
 * reached without that check.
 *
 * @param context - the call's context.
 * @returns The operator.
 * @throws ConnectError `unauthenticated` if the context has no operator.
 */
export function authenticatedOperator(context: HandlerContext): Operator {
  const operator = context.values.get(operatorContextKey);
  if (!operator) throw new ConnectError('No operator is known.', Code.Unauthenticated);
  return operator;
}

/** Id, author and reason of a change, after the checks. */
export interface CheckedOrigin {
  readonly changeId: string;
  readonly author: string;
  readonly comment: string;
}

/**
 * Checks that the operator may make changes, and that the change has a valid id by which a repeat is recognised.
 *
 * @param context - the call's context.
 * @param origin - id and reason as the operator sent them.
 * @returns The origin with the operator's name as author.
 * @throws ConnectError `permission_denied` or `invalid_argument`.
 */
export function checkOrigin(
  context: HandlerContext,
  origin: ChangeOrigin | undefined,
): CheckedOrigin {
  const operator = authenticatedOperator(context);
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
  if (findings.hasAny) throw invalidArgumentError(findings.list());
  return { changeId, author: operator.name, comment };
}

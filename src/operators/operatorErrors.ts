/**
 * Errors that operators' calls answer: one error with all findings, or a conflict with the newer value.
 */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { match } from 'ts-pattern';

import type { Finding } from '../findings/Findings.js';
import { formatFinding } from '../findings/Findings.js';
import type { HistoryEntry } from '../generated/baobabdock/v1/operators_pb.js';
import { ConflictSchema, FindingListSchema } from '../generated/baobabdock/v1/operators_pb.js';
import type { ChangeOutcome } from './ConfigurationChanges.js';
import { resourceOf } from './resourceKinds.js';

/** Every outcome of a change except `accepted`. */
export type RefusedOutcome = Exclude<ChangeOutcome, { kind: 'accepted' }>;

/**
 * @param findings - at least one finding.
 * @returns An error with every finding and its field, as text and as error details.
 */
export function invalidArgumentError(findings: readonly Finding[]): ConnectError {
  const detail = {
    findings: findings.map(({ place, message }) => ({ field: place.field ?? '', message })),
  };
  const text = findings.map(formatFinding).join('\n');
  return new ConnectError(text, Code.InvalidArgument, undefined, [
    { desc: FindingListSchema, value: create(FindingListSchema, detail) },
  ]);
}

/**
 * @param field - the field with the error.
 * @param message - what is wrong and what is expected.
 * @returns An error as by {@link invalidArgumentError}, with this one finding.
 */
export function invalidFieldError(field: string, message: string): ConnectError {
  return invalidArgumentError([{ place: { field }, message }]);
}

/**
 * @param kind - the kind of thing that was requested, for example `client_account`.
 * @param name - its name.
 * @returns An error that says that it does not exist.
 */
export function notFoundError(kind: string, name: string): ConnectError {
  return new ConnectError(`There is no ${kind.replaceAll('_', ' ')} "${name}".`, Code.NotFound);
}

function conflictError(
  outcome: Extract<RefusedOutcome, { kind: 'conflict' }>,
  code: Code,
  changedBy: HistoryEntry | undefined,
): ConnectError {
  const current = resourceOf(outcome.current);
  const changedRevision = outcome.current?.changedRevision ?? 0n;
  const text = match(code)
    .with(Code.AlreadyExists, () => 'There is one of that name already.')
    .otherwise(() =>
      outcome.current
        ? `It has changed since it was read, in revision ${changedRevision}.`
        : 'It has been removed since it was read.',
    );
  const value = create(ConflictSchema, {
    revision: BigInt(outcome.revision),
    current,
    changedRevision,
    changedBy,
  });
  return new ConnectError(text, code, undefined, [{ desc: ConflictSchema, value }]);
}

/**
 * Converts a change that was not accepted into the error for the operator.
 *
 * @param outcome - the outcome of the change.
 * @param options - `creating`: the change was to create an entity, so that a conflict with an existing one is reported as
 *   "already exists"; `changedBy`: the change that made the newer value.
 * @returns The error.
 */
export function refusalError(
  outcome: RefusedOutcome,
  options: { creating?: boolean; changedBy?: HistoryEntry } = {},
): ConnectError {
  return match(outcome)
    .with({ kind: 'invalid' }, ({ findings }) => invalidArgumentError(findings))
    .with({ kind: 'conflict' }, (conflict) =>
      conflictError(
        conflict,
        options.creating && conflict.current ? Code.AlreadyExists : Code.Aborted,
        options.changedBy,
      ),
    )
    .with(
      { kind: 'unavailable' },
      ({ message }) => new ConnectError(`Nothing was changed: ${message}`, Code.Unavailable),
    )
    .with(
      { kind: 'unsure' },
      ({ message }) =>
        new ConnectError(
          `Whether the change was made is unknown: ${message} Repeat it with the same change id; it is made at most once.`,
          Code.Unknown,
        ),
    )
    .exhaustive();
}

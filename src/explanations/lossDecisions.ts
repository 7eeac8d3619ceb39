/**
 * Decides from a request's lines whether its caller lost it, and why.
 *
 * A runner's answer below 500 is an answer, whatever it says. How late an answer was is not decided here: no line
 * tells when its caller wanted it.
 */
import { match, P } from 'ts-pattern';

import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { LogLine } from './logLine.js';
import type { FailedAttempt, Loss, LossCause } from './lossTypes.js';
import { NOT_TOLD } from './lossTypes.js';

const SERVER_ERROR = 500;

/** A runner's own word that the deadline has passed. */
const GATEWAY_TIMEOUT = 504;

const SUCCESS = 200;
const REDIRECT = 300;

const { answered, callerLeft, rejected } = forwardingLogEvents;

type Fields = LogLine['fields'];

/** Cause and detail, before they are put together with what the line tells besides. */
interface Verdict {
  readonly cause: LossCause;
  readonly detail: string;
}

/** What is known of a request besides its last line. */
export interface LossContext {
  /** By time. */
  readonly failures: readonly FailedAttempt[];
  /** Whether its process had come to the end of a planned stop. */
  readonly isStopped: boolean;
}

/**
 * @param value - of a field.
 * @returns The text, or that it is not told.
 */
export function textOf(value: unknown): string {
  return typeof value === 'string' && value !== '' ? value : NOT_TOLD;
}

/**
 * @param value - of a field.
 * @returns The number, or `undefined` where the field is missing or holds something else.
 */
export function numberOf(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined;
}

/**
 * @param fields - of the line of a failed attempt.
 * @returns What it tells; fields that only some versions write may be missing.
 */
export function failedAttemptOf(fields: Fields): FailedAttempt {
  return {
    runner: textOf(fields.runner),
    failure: textOf(fields.failure),
    verdict: textOf(fields.verdict),
    reason: typeof fields.reason === 'string' ? fields.reason : undefined,
    probedMilliseconds: numberOf(fields.probedMilliseconds),
  };
}

/** Why no other runner answered after the last failed attempt. */
function whyNoOther(last: FailedAttempt | undefined, status: unknown): string {
  if (!last) return 'its failed attempt is not in the log';
  if (last.verdict === 'cut') return 'its answer had begun';
  if (last.reason !== undefined) return last.reason.replaceAll('_', ' ');
  // A daemon that gives up says 504 only once the deadline has passed.
  if (status === GATEWAY_TIMEOUT) return 'no time left for another';
  return `no other asked, why is ${NOT_TOLD}`;
}

function lateDetail({ tried }: Fields, { failures }: LossContext): string {
  if (failures.length > 0) return 'after failed attempts';
  return match(numberOf(tried))
    .with(0, () => 'before a runner was chosen')
    .with(1, () => 'one runner had it all the time')
    .with(P.number, () => 'several runners had it')
    .otherwise(() => NOT_TOLD);
}

function notServedVerdict(fields: Fields, context: LossContext): Verdict {
  const last = context.failures.at(-1);
  const afterFailure = (cause: LossCause) => ({ cause, detail: whyNoOther(last, fields.status) });
  return match<unknown, Verdict>(fields.outcome)
    .with('deadline', () => ({ cause: 'no time left', detail: lateDetail(fields, context) }))
    .with('broken', () => afterFailure('runner gone'))
    .with('silent', () => afterFailure('runner silent'))
    .with('stray_answer', () => afterFailure('stray answer'))
    .with('refused', () => afterFailure('runner refused'))
    .with('not_connected', 'connect_timeout', () => afterFailure('not connected'))
    .with('no_runner', () => ({
      cause: 'no runner',
      detail: last ? `none left after ${last.failure.replaceAll('_', ' ')}` : 'none to try',
    }))
    .with('not_resumed', () => ({
      cause: 'not resumed',
      detail: 'no stream from the second runner',
    }))
    .with('quarantined', () => ({ cause: 'quarantined', detail: 'runners crashed under it' }))
    .with('suspect_under_way', () => ({
      cause: 'quarantined',
      detail: 'the same request was under way',
    }))
    .otherwise((outcome) => ({ cause: 'other', detail: textOf(outcome) }));
}

/** A second opinion on a runner's error leaves no line of its own, only the number of runners. */
function errorDetail({ tried }: Fields): string {
  const runners = numberOf(tried);
  if (runners === undefined) return NOT_TOLD;
  return runners > 1 ? 'several runners asked' : 'one runner asked';
}

function answeredVerdict(fields: Fields): Verdict | undefined {
  const code = numberOf(fields.status);
  if (code === undefined || code < SERVER_ERROR) return undefined;
  if (code === GATEWAY_TIMEOUT) return { cause: 'no time left', detail: 'a runner said so' };
  return { cause: 'runner error', detail: errorDetail(fields) };
}

function verdictOn({ number, fields }: LogLine, context: LossContext): Verdict | undefined {
  if (number === answered.number) return answeredVerdict(fields);
  if (number === rejected.number) {
    return { cause: 'refused at once', detail: textOf(fields.outcome).replaceAll('_', ' ') };
  }
  // Once a stop is over, its process breaks the connections off, and callers seem to leave.
  if (context.isStopped) return { cause: 'cut by a stop', detail: 'in progress when it ended' };
  if (number === callerLeft.number) return { cause: 'caller left', detail: 'by itself' };
  return notServedVerdict(fields, context);
}

/** A success that ends as a loss was cut: the caller had its head. */
function statusText(value: unknown): string {
  const status = numberOf(value);
  if (status === undefined) return NOT_TOLD;
  if (status === 0) return 'none';
  return status >= SUCCESS && status < REDIRECT ? `${status} cut` : String(status);
}

/**
 * @param end - the last line of a request.
 * @param context - what else is known of it.
 * @returns What its caller lost, or `undefined` where it got an answer.
 */
export function lossOf(end: LogLine, context: LossContext): Loss | undefined {
  const verdict = verdictOn(end, context);
  if (!verdict) return undefined;
  const { fields, time } = end;
  const last = context.failures.at(-1);
  return {
    ...verdict,
    status: statusText(fields.status),
    request: typeof fields.request === 'string' ? fields.request : '',
    time,
    route: textOf(fields.route),
    runner: last && end.number !== answered.number ? last.runner : textOf(fields.runner),
    heldMilliseconds: numberOf(fields.milliseconds),
    probedMilliseconds: last?.probedMilliseconds,
  };
}

/** Options of {@link untoldLoss}. */
export interface UntoldLossOptions {
  cause: 'end not told' | 'cut by a stop';
  /** Of the last line that is known of it, or of the end of its process. */
  time: string;
  request?: string;
  failures?: readonly FailedAttempt[];
}

/**
 * @param options - what is known of a request whose end no line tells.
 * @returns Its loss.
 */
export function untoldLoss({ cause, time, request = '', failures = [] }: UntoldLossOptions): Loss {
  const last = failures.at(-1);
  return {
    cause,
    detail: cause === 'cut by a stop' ? 'in progress when it ended' : 'attempts without an end',
    status: NOT_TOLD,
    request,
    time,
    route: NOT_TOLD,
    runner: last?.runner ?? NOT_TOLD,
    heldMilliseconds: undefined,
    probedMilliseconds: last?.probedMilliseconds,
  };
}

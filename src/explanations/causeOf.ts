/**
 * What follows from the lines of a request. The same ways as in docs/OPERATIONS.md.
 */
import { match, P } from 'ts-pattern';

import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { LogLine } from './logLine.js';

/** A load from this many times the mean on, and from this many requests on, explains a slow answer. */
const BUSY_TIMES_MEAN = 2;

const { answered, notServed, callerLeft, attemptFailed, runnersError, hedged, rejected } =
  forwardingLogEvents;

function linesOf(lines: readonly LogLine[], { number }: { number: number }): LogLine[] {
  return lines.filter((line) => line.number === number);
}

function outcomeText(outcome: unknown): string {
  return match(outcome)
    .with('no_configuration', () => 'the daemon had no configuration yet')
    .with('stopping', () => 'the daemon was in a planned stop')
    .with('no_runner', () => 'no runner of the service was listed and took requests')
    .with('refused', () => 'runners said that they had not run it')
    .with('connect_timeout', () => 'no runner accepted a connection in time')
    .with('not_connected', () => 'no runner accepted a connection')
    .with('deadline', () => 'its deadline, or the timeout of its route, passed')
    .with('not_resumed', () => 'its stream was cut, and the second runner gave no stream')
    .with(P.union('broken', 'silent', 'stray_answer'), (failure) =>
      [
        `a runner took it and its answer was lost (${failure}): it may have run, and either the route`,
        'may not repeat it or its attempts or the budget of retries were used up',
      ].join(' '),
    )
    .with('quarantined', () => 'several runners have crashed under this request')
    .with(
      'suspect_under_way',
      () => 'a runner has crashed under this request, and the same one was under way',
    )
    .with('no_route', () => 'no route of the configuration in force has its host and path')
    .with('unknown_key', () => 'its key is in no client account of the configuration in force')
    .otherwise((other) => String(other));
}

function endOf(own: readonly LogLine[]): string[] {
  const end = own.findLast(({ number }) =>
    [answered, notServed, callerLeft, rejected].some((event) => event.number === number),
  );
  if (!end) return ['No line tells its end: the daemon ended before, or lines were left out.'];
  const { status, outcome, milliseconds } = end.fields;
  const after = milliseconds === undefined ? '' : ` after ${String(milliseconds)} ms`;
  return match(end.number)
    .with(answered.number, () => [
      `The caller got a runner’s answer, status ${String(status)}${after}.`,
    ])
    .with(callerLeft.number, () => [`The caller left${after}; its attempts were broken off.`])
    .otherwise(() => [`The caller got status ${String(status)}${after}: ${outcomeText(outcome)}.`]);
}

function attemptsOf(own: readonly LogLine[]): string[] {
  const failed = linesOf(own, attemptFailed).map(({ fields }) => {
    const { runner, failure, attemptMilliseconds, verdict } = fields;
    const attempt = `Runner ${String(runner)} failed it (${String(failure)})`;
    return `${attempt} after ${String(attemptMilliseconds)} ms; decided: ${String(verdict)}.`;
  });
  const errors = linesOf(own, runnersError).map(({ fields }) => {
    const { runner, status, verdict, reason } = fields;
    const answer = `Runner ${String(runner)} answered with an error of its own (${String(status)})`;
    if (verdict === 'retry') return `${answer}; another one was asked.`;
    return `${answer}; no other one was asked (${String(reason)}).`;
  });
  const second = linesOf(own, hedged).map(
    ({ fields }) => `A second runner was asked beside ${String(fields.runner)}, which was slow.`,
  );
  return [...failed, ...errors, ...second];
}

/** A request that ends without any failed attempt has waited for one runner. */
function waitedFor(own: readonly LogLine[]): string[] {
  const end = linesOf(own, notServed).at(-1);
  const isLate = end?.fields.outcome === 'deadline' && end.fields.tried === 1;
  if (!isLate || linesOf(own, attemptFailed).length > 0) return [];
  return [`Runner ${String(end.fields.runner)} had it all the time and said nothing final.`];
}

function loadOf(own: readonly LogLine[]): string[] {
  const { load, meanLoad, runner } = own.at(-1)?.fields ?? {};
  const isBusy =
    typeof load === 'number' && typeof meanLoad === 'number' && load > meanLoad * BUSY_TIMES_MEAN;
  if (!isBusy || load < BUSY_TIMES_MEAN) return [];
  return [`Runner ${String(runner)} had ${load} requests then, the mean was ${meanLoad}.`];
}

function storeOf(beliefs: readonly LogLine[]): string[] {
  const lost = linesOf(beliefs, syncLogEvents.storeLost).at(-1);
  const regained = linesOf(beliefs, syncLogEvents.storeRegained).at(-1);
  if (!lost || (regained && regained.time >= lost.time)) return [];
  const { revision } = lost.fields;
  const age =
    revision === undefined
      ? 'it knew nothing yet'
      : `its beliefs were of revision ${String(revision)}`;
  return [`The store had not answered ${lost.daemon} since ${lost.time}; ${age}.`];
}

/**
 * @param own - lines of one request, by time.
 * @param beliefs - what its daemon believed, by time.
 * @returns What became of the request and why, one sentence each.
 */
export function causeOf(own: readonly LogLine[], beliefs: readonly LogLine[]): string[] {
  return [
    ...endOf(own),
    ...attemptsOf(own),
    ...waitedFor(own),
    ...loadOf(own),
    ...storeOf(beliefs),
  ];
}

/**
 * Draws conclusions from the log lines of a request, in the same way as docs/OPERATIONS.md.
 */
import { match, P } from 'ts-pattern';

import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { LogLine } from './logLine.js';

/**
 * A runner counts as busy above this many times the mean load, if it also has at least this many requests in progress.
 */
const BUSY_LOAD_FACTOR = 2;

const { answered, notServed, callerLeft, attemptFailed, runnersError, hedged, rejected } =
  forwardingLogEvents;

function linesOfEvent(lines: readonly LogLine[], { number }: { number: number }): LogLine[] {
  return lines.filter((line) => line.number === number);
}

function describeOutcome(outcome: unknown): string {
  return match(outcome)
    .with('no_configuration', () => 'the daemon had no configuration yet')
    .with('configuration_behind', () => 'the daemon did not have the newest configuration yet')
    .with('stopping', () => 'the daemon was in a planned stop')
    .with('no_runner', () => 'no runner of the service was listed and accepted requests')
    .with('refused', () => 'runners refused it without running it')
    .with('connect_timeout', () => 'no runner accepted a connection in time')
    .with('not_connected', () => 'no runner accepted a connection')
    .with('deadline', () => 'its deadline, or the timeout of its route, passed')
    .with(
      'not_resumed',
      () => 'its stream was cut, and the second runner did not continue it with a stream',
    )
    .with(P.union('broken', 'silent', 'stray_answer'), (failure) =>
      [
        `a runner accepted it and its answer was lost (${failure}): it may have run, and either the route`,
        'does not allow a retry, or its attempts or the retry budget were used up',
      ].join(' '),
    )
    .with('quarantined', () => 'several runners have crashed while handling requests like this one')
    .with(
      'suspect_under_way',
      () =>
        'a runner has crashed while handling a request like this one, and another one was in progress',
    )
    .with('no_route', () => 'no route of the configuration in force matches its host and path')
    .with('unknown_key', () => 'its key belongs to no client account of the configuration in force')
    .otherwise((other) => String(other));
}

function describeParts(parts: unknown): string[] {
  if (typeof parts !== 'string') return [];
  return [`What they have in common is this part of their prompts: ${parts}; see log event 3101.`];
}

function describeEnd(requestLines: readonly LogLine[]): string[] {
  const end = requestLines.findLast(({ number }) =>
    [answered, notServed, callerLeft, rejected].some((event) => event.number === number),
  );
  if (!end)
    return ['No line shows its end: the daemon process ended first, or lines were left out.'];
  const { status, outcome, milliseconds, quarantinedParts } = end.fields;
  const after = milliseconds === undefined ? '' : ` after ${String(milliseconds)} ms`;
  return match(end.number)
    .with(answered.number, () => [
      `The caller got a runner’s answer, status ${String(status)}${after}.`,
    ])
    .with(callerLeft.number, () => [
      `The caller disconnected${after}; its attempts were cancelled.`,
    ])
    .otherwise(() => [
      `The caller got status ${String(status)}${after}: ${describeOutcome(outcome)}.`,
      ...describeParts(quarantinedParts),
    ]);
}

function describeAttempts(requestLines: readonly LogLine[]): string[] {
  const failed = linesOfEvent(requestLines, attemptFailed).map(({ fields }) => {
    const { runner, failure, attemptMilliseconds, verdict } = fields;
    const attempt = `Runner ${String(runner)} failed the request (${String(failure)})`;
    return `${attempt} after ${String(attemptMilliseconds)} ms; decision: ${String(verdict)}.`;
  });
  const errors = linesOfEvent(requestLines, runnersError).map(({ fields }) => {
    const { runner, status, verdict, reason } = fields;
    const answer = `Runner ${String(runner)} answered with an error of its own (${String(status)})`;
    if (verdict === 'retry') return `${answer}; the request was retried on another runner.`;
    return `${answer}; the request was not retried (${String(reason)}).`;
  });
  const second = linesOfEvent(requestLines, hedged).map(
    ({ fields }) =>
      `A hedged request went to a second runner, because ${String(fields.runner)} was slow.`,
  );
  return [...failed, ...errors, ...second];
}

/**
 * A request that reached its deadline with one runner and without a failed attempt waited for that runner all the
 * time.
 */
function describeUnansweredWait(requestLines: readonly LogLine[]): string[] {
  const end = linesOfEvent(requestLines, notServed).at(-1);
  const isLate = end?.fields.outcome === 'deadline' && end.fields.tried === 1;
  if (!isLate || linesOfEvent(requestLines, attemptFailed).length > 0) return [];
  return [
    `Runner ${String(end.fields.runner)} had the request all the time and sent no final answer.`,
  ];
}

function describeLoad(requestLines: readonly LogLine[]): string[] {
  const { load, meanLoad, runner } = requestLines.at(-1)?.fields ?? {};
  const isBusy =
    typeof load === 'number' && typeof meanLoad === 'number' && load > meanLoad * BUSY_LOAD_FACTOR;
  if (!isBusy || load < BUSY_LOAD_FACTOR) return [];
  return [
    `Runner ${String(runner)} had ${load} requests in progress then; the mean was ${meanLoad}.`,
  ];
}

function describeStoreOutage(stateLines: readonly LogLine[]): string[] {
  const lost = linesOfEvent(stateLines, syncLogEvents.storeLost).at(-1);
  const regained = linesOfEvent(stateLines, syncLogEvents.storeRegained).at(-1);
  if (!lost || (regained && regained.time >= lost.time)) return [];
  const { revision } = lost.fields;
  const dataAge =
    revision === undefined
      ? 'the daemon had no data yet'
      : `the daemon’s data was of revision ${String(revision)}`;
  return [`The store had not answered ${lost.daemon} since ${lost.time}; ${dataAge}.`];
}

/**
 * Concludes how a request ended and why.
 *
 * @param requestLines - log lines that name the request, ordered by time.
 * @param stateLines - log lines that show the state of its daemon, ordered by time.
 * @returns Conclusions, one sentence each.
 */
export function explainOutcome(
  requestLines: readonly LogLine[],
  stateLines: readonly LogLine[],
): string[] {
  return [
    ...describeEnd(requestLines),
    ...describeAttempts(requestLines),
    ...describeUnansweredWait(requestLines),
    ...describeLoad(requestLines),
    ...describeStoreOutage(stateLines),
  ];
}

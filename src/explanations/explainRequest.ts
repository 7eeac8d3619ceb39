/**
 * Explains one request from the logs of all daemons: the lines that name the request, the state that its daemon had
 * logged by then, and the conclusions from both.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { routerLogEvents } from '../router/routerFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import { explainOutcome } from './explainOutcome.js';
import type { LogLine } from './logLine.js';

/** Explanation of one request. */
export interface RequestExplanation {
  /** Log lines that name the request, ordered by time. */
  readonly requestLines: readonly LogLine[];
  /** Latest lines before the end of the request that show the state of its daemon, ordered by time. */
  readonly stateLines: readonly LogLine[];
  /** Conclusions, one sentence per entry. */
  readonly conclusions: readonly string[];
}

/**
 * Numbers of the events that show the state of a daemon; the latest line of each before the end of the request counts.
 */
const DAEMON_STATE_EVENTS: ReadonlySet<number> = new Set(
  [
    syncLogEvents.configurationInForce,
    syncLogEvents.storeLost,
    syncLogEvents.storeRegained,
    syncLogEvents.learntFromPeer,
    routerLogEvents.started,
    routerLogEvents.ready,
    routerLogEvents.stopping,
    routerLogEvents.linesLeftOut,
    routerLogEvents.linesDropped,
    forwardingLogEvents.linkSuspected,
    forwardingLogEvents.linkSound,
  ].map(({ number }) => number),
);

/** Numbers of the events that show a daemon's state of one runner; the latest line of each runner counts. */
const RUNNER_STATE_EVENTS: ReadonlySet<number> = new Set(
  [syncLogEvents.runnerChanged, forwardingLogEvents.runnerPaused].map(({ number }) => number),
);

function byTime(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((one, other) => one.time.localeCompare(other.time));
}

function stateKey({ daemon, number, fields }: LogLine): string | undefined {
  if (DAEMON_STATE_EVENTS.has(number)) return `${daemon} ${number}`;
  return RUNNER_STATE_EVENTS.has(number)
    ? `${daemon} ${number} ${String(fields.runner)}`
    : undefined;
}

/**
 * Discards the state lines of a daemon when its next process starts. That process does not have the state of the one
 * before, so that showing those lines would mislead.
 */
function removeDaemon(latest: Map<string, LogLine>, name: string): void {
  for (const [key, { daemon }] of latest) if (daemon === name) latest.delete(key);
}

function findStateLines(requestLines: readonly LogLine[], all: readonly LogLine[]): LogLine[] {
  const endTimes = new Map(requestLines.map(({ daemon, time }) => [daemon, time]));
  const runners = new Set(requestLines.map(({ fields }) => fields.runner));
  const latest = new Map<string, LogLine>();
  for (const line of all) {
    const end = endTimes.get(line.daemon);
    if (end === undefined || line.time > end) continue;
    if (line.number === routerLogEvents.started.number) removeDaemon(latest, line.daemon);
    const key = stateKey(line);
    const isRelevant = !RUNNER_STATE_EVENTS.has(line.number) || runners.has(line.fields.runner);
    if (key !== undefined && isRelevant) latest.set(key, line);
  }
  return byTime([...latest.values()]);
}

/**
 * Explains one request.
 *
 * @param id - request id, as the caller sent it.
 * @param lines - log lines of any number of daemons, in any order.
 * @returns The explanation, or `undefined` if no line names the request.
 */
export function explainRequest(
  id: string,
  lines: readonly LogLine[],
): RequestExplanation | undefined {
  const sorted = byTime(lines);
  const requestLines = sorted.filter(({ fields }) => fields.request === id);
  if (requestLines.length === 0) return undefined;
  const stateLines = findStateLines(requestLines, sorted);
  return { requestLines, stateLines, conclusions: explainOutcome(requestLines, stateLines) };
}

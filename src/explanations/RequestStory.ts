/**
 * Puts together what the logs of all daemons say of one request: its own lines, what its daemon believed at the
 * time, and what follows from both.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { routerLogEvents } from '../router/routerFeature.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import { causeOf } from './causeOf.js';
import type { LogLine } from './logLine.js';

/** What is known of a request. */
export interface Story {
  /** Lines that name the request, by time. */
  readonly own: readonly LogLine[];
  /** The latest lines before its end that say what its daemon believed, by time. */
  readonly beliefs: readonly LogLine[];
  /** What follows, one sentence a line. */
  readonly conclusions: readonly string[];
}

/** Lines of which the latest before the request's end tells what its daemon believed. */
const BELIEFS: ReadonlySet<number> = new Set(
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

/** Lines of which the latest of each runner counts. */
const RUNNER_BELIEFS: ReadonlySet<number> = new Set(
  [syncLogEvents.runnerChanged, forwardingLogEvents.runnerPaused].map(({ number }) => number),
);

function byTime(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((one, other) => one.time.localeCompare(other.time));
}

function beliefKey({ daemon, number, fields }: LogLine): string | undefined {
  if (BELIEFS.has(number)) return `${daemon} ${number}`;
  return RUNNER_BELIEFS.has(number) ? `${daemon} ${number} ${String(fields.runner)}` : undefined;
}

/** What a daemon believed ends with its process; told as a belief of the next one, it would mislead. */
function forget(latest: Map<string, LogLine>, name: string): void {
  for (const [key, { daemon }] of latest) if (daemon === name) latest.delete(key);
}

function beliefsOf(own: readonly LogLine[], all: readonly LogLine[]): LogLine[] {
  const endOf = new Map(own.map(({ daemon, time }) => [daemon, time]));
  const runners = new Set(own.map(({ fields }) => fields.runner));
  const latest = new Map<string, LogLine>();
  for (const line of all) {
    const end = endOf.get(line.daemon);
    if (end === undefined || line.time > end) continue;
    if (line.number === routerLogEvents.started.number) forget(latest, line.daemon);
    const key = beliefKey(line);
    const concerns = !RUNNER_BELIEFS.has(line.number) || runners.has(line.fields.runner);
    if (key !== undefined && concerns) latest.set(key, line);
  }
  return byTime([...latest.values()]);
}

/**
 * @param id - of the request, as the caller sent it.
 * @param lines - of the logs of any number of daemons.
 * @returns Its story, or `undefined` when no line names it.
 */
export function storyOf(id: string, lines: readonly LogLine[]): Story | undefined {
  const sorted = byTime(lines);
  const own = sorted.filter(({ fields }) => fields.request === id);
  if (own.length === 0) return undefined;
  const beliefs = beliefsOf(own, sorted);
  return { own, beliefs, conclusions: causeOf(own, beliefs) };
}

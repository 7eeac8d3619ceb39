/**
 * Writes an account of losses for people.
 */
import type { CauseSum, GroupSum, LogCoverage, LossSummary } from '../explanations/lossTypes.js';
import { formatTable } from './operator/formatTable.js';

/** How many causes a row by route, moment or runner names. */
const NAMED_CAUSES = 3;

/** How many places of unreadable lines are named; a collector that cuts files leaves one in each. */
const NAMED_PLACES = 3;

/** Milliseconds of a time that a moment of whole seconds does not need. */
const NO_MILLISECONDS = '.000Z';

/** Lines of the files that are in no sum. */
export interface UnreadableLines {
  readonly lines: number;
  /** The first of each file that has any: `file:line`. */
  readonly places: readonly string[];
}

/** Options of {@link formatLosses}. */
export interface FormatLossesOptions {
  summary: LossSummary;
  unreadable: UnreadableLines;
  /** Rows of each table; the rest is summed in one line. */
  maximumRows: number;
}

function numberText(value: number | undefined): string {
  return value === undefined ? '-' : String(value);
}

function unreadableText({ lines, places }: UnreadableLines): string {
  if (places.length === 0) return `${lines} unreadable`;
  const more = places.length - NAMED_PLACES;
  const named = places.slice(0, NAMED_PLACES).join(', ');
  return `${lines} unreadable (from ${named}${more > 0 ? `, and in ${more} more files` : ''})`;
}

function extentLines(extent: LogCoverage, unreadable: UnreadableLines): string[] {
  const { daemons, starts, unplannedEnds, firstTime, lastTime, completeFrom } = extent;
  if (firstTime === undefined) return ['No line of a daemon.'];
  const absent = [
    unreadableText(unreadable),
    `${extent.leftOutLines} left out by daemons (2507)`,
    `${extent.droppedLines} dropped (1010)`,
  ];
  return [
    `Logs of ${daemons} daemons from ${firstTime} to ${lastTime}, of all of them from ${completeFrom} on.`,
    `Processes started: ${starts}; ended without a planned stop, so that what they held left no line: ${unplannedEnds}.`,
    `Lines in no sum: ${absent.join(', ')}.`,
  ];
}

function causeTable(causes: readonly CauseSum[], maximumRows: number): string {
  const isProbed = causes.some((sum) => sum.medianProbedMilliseconds !== undefined);
  const probed = (text: string) => (isProbed ? [text] : []);
  const rows = causes
    .slice(0, maximumRows)
    .map((sum) => [
      sum.cause,
      sum.detail,
      sum.status,
      String(sum.requests),
      numberText(sum.medianMilliseconds),
      numberText(sum.percentile99Milliseconds),
      ...probed(numberText(sum.medianProbedMilliseconds)),
      sum.examples.join(' '),
    ]);
  const headings = ['cause', 'detail', 'status', 'requests', 'median ms', '99th ms'];
  return formatTable([...headings, ...probed('probed ms'), 'look at'], rows);
}

/** Lines of a failed attempt do not name the route, so that it has no such sum. */
function groupTable(name: 'route' | 'moment' | 'runner', sums: readonly GroupSum[]): string {
  const attempts = (text: string) => (name === 'route' ? [] : [text]);
  const rows = sums.map(({ key, requests, lost, failedAttempts, causes }) => [
    key.replace(NO_MILLISECONDS, 'Z'),
    String(requests),
    String(lost),
    ...attempts(String(failedAttempts)),
    causes
      .slice(0, NAMED_CAUSES)
      .map(([cause, count]) => `${count} ${cause}`)
      .join(', '),
  ]);
  return formatTable([name, 'requests', 'lost', ...attempts('failed attempts'), 'causes'], rows);
}

function restLine(rest: readonly number[]): string[] {
  if (rest.length === 0) return [];
  const lost = rest.reduce((sum, count) => sum + count, 0);
  return [`Further rows: ${rest.length}, with ${lost} lost; --rows shows more.`];
}

/** @returns A table under its title, with what its rows leave out. */
function section(title: string, table: string, rest: readonly number[]): string[] {
  return ['', `${title}:`, table.trimEnd(), ...restLine(rest)];
}

function byKey(one: GroupSum, other: GroupSum): number {
  return one.key.localeCompare(other.key);
}

/**
 * @param options - the sums, and how much of them.
 * @returns The account, one text a line; tables hold several.
 */
export function formatLosses({ summary, unreadable, maximumRows }: FormatLossesOptions): string[] {
  const { requests, lost, recovered, causes, routes, moments, runners } = summary;
  const most = (sums: readonly GroupSum[]) => sums.slice(0, maximumRows);
  const rest = (sums: readonly GroupSum[]) => sums.slice(maximumRows).map((sum) => sum.lost);
  const restOfCauses = causes.slice(maximumRows).map((sum) => sum.requests);
  const momentRows = [...most(moments)].sort(byKey);
  return [
    ...extentLines(summary.coverage, unreadable),
    `Requests: ${requests}, lost ${lost}; answered although an attempt had failed: ${recovered}.`,
    ...section('Lost, by cause', causeTable(causes, maximumRows), restOfCauses),
    ...section('Lost, by route', groupTable('route', most(routes)), rest(routes)),
    ...section('Lost, by moment', groupTable('moment', momentRows), rest(moments)),
    ...section('Lost, by runner', groupTable('runner', most(runners)), rest(runners)),
  ];
}

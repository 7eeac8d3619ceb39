/**
 * Formats sums of losses for terminals.
 */
import type { CauseSum, GroupSum, LogCoverage, LossSummary } from '../explanations/lossTypes.js';
import { formatTable } from './operator/formatTable.js';

/** Number of causes shown in a row by route, moment or runner. */
const NAMED_CAUSES = 3;

/** Number of unreadable lines whose place is shown; log rotation may cut one line in each file. */
const NAMED_PLACES = 3;

/** The milliseconds of a timestamp, left out for moments of whole seconds. */
const NO_MILLISECONDS = '.000Z';

/** Lines of the files that are not included in any sum. */
export interface UnreadableLines {
  readonly lines: number;
  /** Place of the first such line of each file, as `file:line`. */
  readonly places: readonly string[];
}

/** Options of {@link formatLosses}. */
export interface FormatLossesOptions {
  summary: LossSummary;
  unreadable: UnreadableLines;
  /** Maximum number of rows of each table; the others are summed up in one line. */
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

/** There are no sums of attempts by route, since log lines of failed attempts do not contain the route. */
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

/** @returns A table with its title and a line for the rows that are left out. */
function section(title: string, table: string, rest: readonly number[]): string[] {
  return ['', `${title}:`, table.trimEnd(), ...restLine(rest)];
}

function byKey(one: GroupSum, other: GroupSum): number {
  return one.key.localeCompare(other.key);
}

/**
 * @param options - the sums and the number of rows.
 * @returns The output; each text is a line or a table of several lines.
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

/**
 * The catalogue of log events: checks its rules and formats its page.
 */
import type { AnyFeature } from '../features/Feature.js';
import { Findings } from '../findings/Findings.js';
import type { LogEvent } from './logEvent.js';

/** Default size of a feature's range of event numbers. */
const RANGE_SIZE = 100;

/** First event number of each feature; numbers are never reassigned to another feature. */
const RANGE_STARTS: Readonly<Record<string, number>> = {
  daemon: 1000,
  configuration: 1200,
  membership: 1300,
  routing: 1400,
  gates: 1500,
  requests: 1600,
  orders: 1700,
  platform: 1800,
  upstreams: 1900,
  callers: 2000,
  operators: 2100,
  peers: 2200,
  homes: 2300,
  fleet: 2400,
  router: 2500,
  forwarding: 2600,
  sync: 2700,
  news: 2800,
  coordination: 2900,
  liveness: 3000,
  quarantine: 3100,
  capacity: 3200,
  admission: 3300,
  spill: 3400,
  clients: 3500,
};

/** Ranges of another size. The daemon's range also contains the events of the settings, from 1100. */
const RANGE_SIZES: Readonly<Record<string, number>> = { daemon: 2 * RANGE_SIZE };

const EVENT_NAME = /^[a-z]+(?:_[a-z]+)*\.[a-z]+(?:_[a-z]+)*$/u;

/** An event with the name of the feature that defines it. */
export interface CataloguedEvent {
  readonly feature: string;
  readonly event: LogEvent;
}

/**
 * Lists the events of all features.
 *
 * @param features - the registered features.
 * @returns The events in ascending order of their numbers.
 */
export function listLogEvents(features: readonly AnyFeature[]): CataloguedEvent[] {
  return features
    .flatMap(({ name, logEvents }) =>
      Object.values(logEvents).map((event) => ({ feature: name, event })),
    )
    .sort((a, b) => a.event.number - b.event.number);
}

/**
 * Checks the rules that keep event numbers usable in alerts: each number and name is unique, each number is in the range of
 * its feature, and each event has a text and an operator action.
 *
 * @param features - the registered features.
 * @returns A finding for each violation.
 */
export function checkLogEvents(features: readonly AnyFeature[]): Findings {
  const findings = new Findings();
  const numbers = new Map<number, string>();
  const names = new Set<string>();
  for (const { feature, event } of listLogEvents(features)) {
    const { number, name, text, operatorAction } = event;
    const addFinding = (message: string) =>
      findings.add({ field: `${feature}: ${number}` }, message);
    const start = RANGE_STARTS[feature];
    const end = (start ?? 0) + (RANGE_SIZES[feature] ?? RANGE_SIZE);
    if (start === undefined)
      addFinding('the feature has no range of event numbers in RANGE_STARTS');
    else if (number < start || number >= end)
      addFinding(`the number is outside of ${start} to ${end - 1}`);
    const other = numbers.get(number);
    if (other !== undefined) addFinding(`${name} has the number of ${other}`);
    if (names.has(name)) addFinding(`the name ${name} is used twice`);
    if (!EVENT_NAME.test(name))
      addFinding(`the name ${name} is not of the form feature.what_happened`);
    if (text.trim() === '' || operatorAction.trim() === '')
      addFinding('lacks a text or an operator action');
    numbers.set(number, name);
    names.add(name);
  }
  return findings;
}

function tableCell(text: string): string {
  return text.replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function eventRow({ event }: CataloguedEvent): string {
  const { number, name, level, text, operatorAction } = event;
  return `| ${number} | \`${name}\` | ${level} | ${tableCell(text)} | ${tableCell(operatorAction)} |`;
}

/**
 * Formats the page `docs/LOG_EVENTS.md`.
 *
 * @param features - the registered features.
 * @returns The whole page as Markdown.
 */
export function formatLogCatalogue(features: readonly AnyFeature[]): string {
  const events = listLogEvents(features);
  const sections = features
    .map(({ name }) => ({ name, rows: events.filter(({ feature }) => feature === name) }))
    .filter(({ rows }) => rows.length > 0)
    .sort((a, b) => (a.rows[0]?.event.number ?? 0) - (b.rows[0]?.event.number ?? 0))
    .flatMap(({ name, rows }) => [
      `## ${name}`,
      '',
      '| number | name | level | what happened | what an operator does |',
      '| --- | --- | --- | --- | --- |',
      ...rows.map(eventRow),
      '',
    ]);
  return [
    '# Log events',
    '',
    'Generated from the code by `npm run docs`; do not edit by hand. A number never changes its meaning.',
    'Levels `error` and `warn` are worth an alert. Each line of the log is one event: as JSON it has `time`,',
    '`level`, `number`, `event`, `text`, the name of the daemon and `fields`.',
    '',
    ...sections,
  ].join('\n');
}

/**
 * The catalogue of log events: its rules and its page.
 */
import type { AnyFeature } from '../features/Feature.js';
import { Findings } from '../findings/Findings.js';
import type { LogEvent } from './logEvent.js';

/** How many numbers a feature has by default. */
const RANGE_SIZE = 100;

/** The first number of each feature; a feature's numbers never move to another. */
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
};

/** The daemon's range holds the settings' events too, from 1100. */
const RANGE_SIZES: Readonly<Record<string, number>> = { daemon: 2 * RANGE_SIZE };

const EVENT_NAME = /^[a-z]+(?:_[a-z]+)*\.[a-z]+(?:_[a-z]+)*$/u;

/** An event with the feature that defines it. */
export interface CataloguedEvent {
  readonly feature: string;
  readonly event: LogEvent;
}

/**
 * Lists all events.
 *
 * @param features - the registered features.
 * @returns The events, ordered by number.
 */
export function listLogEvents(features: readonly AnyFeature[]): CataloguedEvent[] {
  return features
    .flatMap(({ name, logEvents }) =>
      Object.values(logEvents).map((event) => ({ feature: name, event })),
    )
    .sort((a, b) => a.event.number - b.event.number);
}

/**
 * Checks the rules that keep numbers usable in alerts: unique, in the feature's range, with an action.
 *
 * @param features - the registered features.
 * @returns What breaks a rule.
 */
export function checkLogEvents(features: readonly AnyFeature[]): Findings {
  const findings = new Findings();
  const numbers = new Map<number, string>();
  const names = new Set<string>();
  for (const { feature, event } of listLogEvents(features)) {
    const { number, name, text, operatorAction } = event;
    const complain = (message: string) => findings.add({ field: `${feature}: ${number}` }, message);
    const start = RANGE_STARTS[feature];
    const end = (start ?? 0) + (RANGE_SIZES[feature] ?? RANGE_SIZE);
    if (start === undefined) complain('the feature has no range of numbers');
    else if (number < start || number >= end) complain(`is outside of ${start} to ${end - 1}`);
    const other = numbers.get(number);
    if (other !== undefined) complain(`${name} has the number of ${other}`);
    if (names.has(name)) complain(`the name ${name} is used twice`);
    if (!EVENT_NAME.test(name))
      complain(`the name ${name} is not of the form feature.what_happened`);
    if (text.trim() === '' || operatorAction.trim() === '') complain('lacks a text or an action');
    numbers.set(number, name);
    names.add(name);
  }
  return findings;
}

function cell(text: string): string {
  return text.replaceAll('|', '\\|').replaceAll('\n', ' ');
}

function eventRow({ event }: CataloguedEvent): string {
  const { number, name, level, text, operatorAction } = event;
  return `| ${number} | \`${name}\` | ${level} | ${cell(text)} | ${cell(operatorAction)} |`;
}

/**
 * Writes the page `docs/LOG_EVENTS.md`.
 *
 * @param features - the registered features.
 * @returns The whole page.
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

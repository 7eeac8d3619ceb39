/**
 * Report of a soak: the verdict, and for each broken promise the events that led to it.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import type { LogLine } from '../src/explanations/logLine.js';
import { explainRequest } from '../src/explanations/explainRequest.js';
import type { Violation } from './checks/Violations.js';
import { logLinesOf } from './daemonLogs.js';
import type { SoakResult } from './runSoak.js';

/** Maximum number of violations in the report; later ones mostly follow from the first. */
const TOLD = 3;

function storyLines({ site }: SoakResult, lines: readonly LogLine[], id: string): string[] {
  const story = explainRequest(id, lines);
  const toText = ({ time, daemon, event, fields }: LogLine) =>
    `    ${time} ${daemon} ${event} ${JSON.stringify(fields)}`;
  const runs = site.runs.of(id);
  return [
    ...(story
      ? [...story.requestLines, ...story.stateLines].map(toText)
      : ['    no log line names it']),
    ...(story?.conclusions ?? []).map((line) => `    ${line}`),
    ...runs.map(
      ({ runner, at, from }) => `    ${runner} ran it at ${site.history.at(at)}, via ${from}`,
    ),
  ];
}

function violationLines(result: SoakResult, lines: readonly LogLine[], one: Violation): string[] {
  const { promise, text, request, at } = one;
  const head = `  BROKEN at ${result.site.history.at(at)}: ${promise}: ${request ?? ''} ${text}`;
  return [head, ...(request === undefined ? [] : storyLines(result, lines, request))];
}

/**
 * @param result - result of a soak.
 * @param folder - folder that the log of each daemon is written to.
 */
export function writeLogs({ site }: SoakResult, folder: string): void {
  mkdirSync(folder, { recursive: true });
  for (const { process, index } of site.daemons) {
    writeFileSync(join(folder, `daemon-${index}.log`), process.log);
  }
}

/**
 * @param seed - seed of the soak.
 * @param result - its result.
 * @returns The lines of the report.
 */
export function reportLines(seed: number, result: SoakResult): string[] {
  const { violations, site } = result;
  const looked = [...violations.checked].map(([promise, times]) => `${promise} (${times})`);
  const figures = violations.figures.map((figure) => `; ${figure}`).join('');
  const verdict = violations.all.length === 0 ? 'kept' : `${violations.all.length} broken`;
  const summary = `seed ${seed}: ${verdict}, ${site.history.played.length} faults, ${violations.excused} requests excused; looked at ${looked.join(', ')}${figures}`;
  if (violations.all.length === 0) return [summary];
  const lines = logLinesOf(site.daemons);
  const told = violations.all.slice(0, TOLD);
  return [
    summary,
    ...told.flatMap((one) => violationLines(result, lines, one)),
    '  faults:',
    ...site.history.lines().map((line) => `  ${line}`),
  ];
}

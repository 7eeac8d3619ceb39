/**
 * Format of recorded sessions: JSON lines, the header first, then one line per step.
 */
import { z } from 'zod';

import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { HasKind } from '../decisions/Decisions.js';
import type { Findings } from '../findings/Findings.js';

/** Header of a session: its first line. */
export interface SessionHeader {
  /** Name of the decision class, see `replayRegistry.ts`. */
  readonly feature: string;
  /** Options of the class's constructor. */
  readonly options: Readonly<Record<string, unknown>>;
  /** Description of the session. */
  readonly title?: string | undefined;
}

/** A step and its line in the file. */
export interface SessionStep {
  /** Line number, starting at 1. */
  readonly line: number;
  /** As it stands in the file. */
  readonly text: string;
  readonly step: DecisionStep<HasKind, HasKind>;
}

/** A parsed session. */
export interface Session {
  readonly header: SessionHeader;
  /** As it stands in the file. */
  readonly headerText: string;
  readonly steps: readonly SessionStep[];
}

const kindedSchema = z.looseObject({ kind: z.string() });

const headerSchema = z.strictObject({
  feature: z.string(),
  title: z.string().optional(),
  options: z.record(z.string(), z.unknown()).default({}),
});

const stepSchema = z.strictObject({
  at: z.number(),
  message: kindedSchema,
  actions: z.array(kindedSchema).default([]),
});

function parseLine<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): z.output<Schema> | string {
  try {
    const result = schema.safeParse(JSON.parse(text));
    if (result.success) return result.data;
    const [issue] = result.error.issues;
    return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`;
  } catch (error) {
    return (error as Error).message;
  }
}

/**
 * Formats one step as a line of a session.
 *
 * @param step - the step, with its time, message and actions.
 * @returns The line, without a line end.
 */
export function formatStep({ at, message, actions }: DecisionStep<HasKind, HasKind>): string {
  return JSON.stringify({ at, message, actions });
}

/**
 * Formats a session.
 *
 * @param header - the header.
 * @param steps - the steps, as recorded by a task.
 * @returns The content of the file.
 */
export function formatSession(
  header: SessionHeader,
  steps: readonly DecisionStep<HasKind, HasKind>[],
): string {
  return [JSON.stringify(header), ...steps.map(formatStep)].map((line) => `${line}\n`).join('');
}

/**
 * Parses a session.
 *
 * @param text - the content of the file.
 * @param file - the file name, for findings.
 * @param findings - receives an error for every invalid line.
 * @returns The session without the invalid lines; `undefined` if the header is invalid.
 */
export function parseSession(text: string, file: string, findings: Findings): Session | undefined {
  const [headerText = '', ...rest] = text.split('\n');
  const header = parseLine(headerText, headerSchema);
  const steps: SessionStep[] = [];
  let latest = -Infinity;
  for (const [index, lineText] of rest.entries()) {
    const line = index + 2;
    if (lineText.trim() === '') continue;
    const step = parseLine(lineText, stepSchema);
    if (typeof step === 'string') {
      findings.add({ file, line }, step);
      continue;
    }
    if (step.at < latest) findings.add({ file, line }, 'is earlier than the step before');
    latest = step.at;
    steps.push({ line, text: lineText, step });
  }
  if (typeof header !== 'string') return { header, headerText, steps };
  findings.add({ file, line: 1 }, `header: ${header}`);
  return undefined;
}

/**
 * A recorded session: JSON lines, first its header, then its steps.
 */
import { z } from 'zod';

import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { HasKind } from '../decisions/Decisions.js';
import type { Findings } from '../findings/Findings.js';

/** The first line. */
export interface SessionHeader {
  /** Names the decision class, see `replayRegistry.ts`. */
  readonly feature: string;
  /** Options of its constructor. */
  readonly options: Readonly<Record<string, unknown>>;
  /** What the session shows. */
  readonly title?: string | undefined;
}

/** A step with the line it stands on. */
export interface SessionStep {
  /** From 1. */
  readonly line: number;
  /** As it stands in the file. */
  readonly text: string;
  readonly step: DecisionStep<HasKind, HasKind>;
}

/** A whole session. */
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
 * Writes one step as it stands in a session.
 *
 * @param step - time, message and actions.
 * @returns One line without a line end.
 */
export function formatStep({ at, message, actions }: DecisionStep<HasKind, HasKind>): string {
  return JSON.stringify({ at, message, actions });
}

/**
 * Writes a session.
 *
 * @param header - the first line.
 * @param steps - time, messages and actions, as a task records them.
 * @returns The whole file.
 */
export function formatSession(
  header: SessionHeader,
  steps: readonly DecisionStep<HasKind, HasKind>[],
): string {
  return [JSON.stringify(header), ...steps.map(formatStep)].map((line) => `${line}\n`).join('');
}

/**
 * Reads a session.
 *
 * @param text - the whole file.
 * @param file - its name, for findings.
 * @param findings - takes every line that is not as it should be.
 * @returns The session, without its wrong lines; `undefined` when the first line is wrong.
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

/**
 * Turns a validation issue of zod into a message. The message never quotes the value, because it may be a secret.
 */
import type { z } from 'zod';

import { nearestName } from './unknownKeys.js';

type Issue = z.core.$ZodIssue;

/** zod's message for a union without a message of its own. */
const DEFAULT_UNION_MESSAGE = 'Invalid input';

const FORMATS: Readonly<Record<string, string>> = {
  ipv4: 'an IP number',
  ipv6: 'an IP number',
  url: 'a URL',
};

function describeType(value: unknown): string {
  if (value === null || value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a mapping';
  if (typeof value === 'string') return 'text';
  return typeof value === 'number' ? 'a number' : `a ${typeof value}`;
}

function describeExpectedType(expected: string): string {
  const names: Readonly<Record<string, string>> = {
    string: 'text',
    int: 'a whole number',
    integer: 'a whole number',
    number: 'a number',
    boolean: 'true or false',
    array: 'a list',
    object: 'a mapping',
    record: 'a mapping',
  };
  return names[expected] ?? expected;
}

function describeInclusiveBound(origin: string, limit: unknown, word: 'least' | 'most'): string {
  const units: Readonly<Record<string, string>> = { string: ' characters', array: ' entries' };
  const verb = units[origin] === undefined ? 'has to be' : 'has to have';
  return `${verb} at ${word} ${String(limit)}${units[origin] ?? ''}`;
}

function describeBound(issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig): string {
  const small = issue.code === 'too_small';
  const limit = small ? issue.minimum : issue.maximum;
  if (issue.inclusive) return describeInclusiveBound(issue.origin, limit, small ? 'least' : 'most');
  return `has to be ${small ? 'more' : 'less'} than ${String(limit)}`;
}

function describeChoices(values: readonly unknown[], value: unknown): string {
  const names = values.map(String);
  const suggestion = typeof value === 'string' ? nearestName(value, names) : undefined;
  const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`;
  return `has to be one of ${names.join(', ')}${hint}`;
}

/**
 * Describes one validation issue.
 *
 * @param issue - issue as reported by zod.
 * @param value - value of the field; only its type is described.
 * @returns A message that says what is wrong and what is expected.
 */
export function describeIssue(issue: Issue, value: unknown): string {
  switch (issue.code) {
    case 'invalid_type': {
      const expected = describeExpectedType(issue.expected);
      if (value === undefined) return `is missing; expected ${expected}`;
      const isNonInteger = issue.expected === 'int' && typeof value === 'number';
      return `expected ${expected}, found ${isNonInteger ? 'a number that is not whole' : describeType(value)}`;
    }
    case 'too_small':
    case 'too_big':
      return describeBound(issue);
    case 'invalid_value':
      if (value === undefined) return `is missing; one of ${issue.values.map(String).join(', ')}`;
      return describeChoices(issue.values, value);
    case 'invalid_format':
      return FORMATS[issue.format] ? `has to be ${FORMATS[issue.format]}` : issue.message;
    case 'invalid_union': {
      if (value === undefined) return 'is missing';
      return issue.message === DEFAULT_UNION_MESSAGE
        ? 'matches none of the allowed forms'
        : issue.message;
    }
    default:
      return issue.message;
  }
}

/**
 * Looks up a value by its path.
 *
 * @param root - plain data.
 * @param path - mapping keys and list indexes.
 * @returns The value, or `undefined` if any part of the path is missing.
 */
export function valueAt(root: unknown, path: readonly (string | number)[]): unknown {
  return path.reduce<unknown>((value, key) => {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return undefined;
    return (value as Record<string | number, unknown>)[key];
  }, root);
}

/**
 * Reads the list of tests that are known to fail and compares it with what failed.
 */
import { existsSync, readFileSync } from 'node:fs';

/** Maximum number of issues that the entries belong to; with more known faults the project counts as broken. */
export const MAXIMUM_KNOWN_RED_ISSUES = 3;

/** Issues whose entries do not count towards the limit, as the users who filed them said. */
const UNCOUNTED_ISSUES: ReadonlySet<string> = new Set(['80']);

const SEPARATOR = '|';

/** A test that failed. */
export interface FailedTest {
  /** Path relative to the root. */
  readonly file: string;
  readonly name: string;
}

/** One line of the list: `src/x/Y.spec.ts: name of the test | cause | issue`. */
export interface KnownRedTest {
  /** `file: name`. */
  readonly test: string;
  readonly issue: string;
  readonly line: string;
}

/** Result of a test run. */
export interface Verdict {
  readonly passed: boolean;
  /** Lines to print after the summary of the test runner. */
  readonly lines: readonly string[];
}

function isCounted(issue: string): boolean {
  return !UNCOUNTED_ISSUES.has(issue);
}

/**
 * Parses the list.
 *
 * @param text - content of the file; empty lines and lines with `#` are passed over.
 * @returns The tests.
 * @throws {@link Error} when the lines belong to too many issues or a line lacks a part.
 */
export function parseKnownRed(text: string): KnownRedTest[] {
  const lines = text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'));
  const tests = lines.map((line) => {
    const parts = line.split(SEPARATOR).map((part) => part.trim());
    if (parts.length !== 3 || parts.includes('')) {
      throw new Error(`known red test without "test | cause | issue": ${line}`);
    }
    return { test: parts[0] as string, issue: parts[2] as string, line };
  });
  const issues = new Set(tests.map(({ issue }) => issue).filter(isCounted));
  if (issues.size > MAXIMUM_KNOWN_RED_ISSUES) {
    const limit = `at most ${MAXIMUM_KNOWN_RED_ISSUES} are allowed`;
    throw new Error(`known red tests of ${issues.size} issues; ${limit}`);
  }
  return tests;
}

/**
 * Reads the list.
 *
 * @param file - its path, or `undefined` to allow no red test.
 * @returns The tests; none when the file does not exist.
 */
export function readKnownRed(file: string | undefined): KnownRedTest[] {
  if (file === undefined || !existsSync(file)) return [];
  return parseKnownRed(readFileSync(file, 'utf8'));
}

/**
 * Decides whether a run passes.
 *
 * @param failed - the tests that failed.
 * @param knownRed - the tests that may fail.
 * @returns The verdict with what to print.
 */
export function compareWithKnownRed(
  failed: readonly FailedTest[],
  knownRed: readonly KnownRedTest[],
): Verdict {
  const red = new Set(failed.map(({ file, name }) => `${file}: ${name}`));
  const known = new Set(knownRed.map(({ test }) => test));
  const unexpected = [...red].filter((test) => !known.has(test));
  const lines = [
    ...knownRed.map(({ test, line }) =>
      red.has(test) ? `known red, passed over: ${line}` : `known red, but not failing now: ${line}`,
    ),
    ...unexpected.map((test) => `FAILED ${test}`),
  ];
  return { passed: unexpected.length === 0, lines };
}

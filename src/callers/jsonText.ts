/**
 * Parses JSON bodies of callers; a syntax error is reported with its line and column.
 */
import { visit } from 'jsonc-parser';

import type { Findings } from '../findings/Findings.js';

/** A parsed JSON value; never `undefined`. */
export type JsonValue = unknown;

/**
 * Longest text, in characters, in which the position of a syntax error is searched. The search parses the text again,
 * and with a huge malformed body it would block the event loop for all other requests.
 */
const MAXIMUM_LOCATED_CHARACTERS = 1024 * 1024;

/** Position in a text; both numbers start at 1. */
interface LineAndColumn {
  readonly line: number;
  readonly column: number;
}

/** Finds the position of a syntax error with a second parser: `JSON.parse` gives no position for some errors. */
function locateSyntaxError(text: string): LineAndColumn | undefined {
  if (text.length > MAXIMUM_LOCATED_CHARACTERS) return undefined;
  let place: LineAndColumn | undefined;
  const onError = (
    _code: number,
    _offset: number,
    _length: number,
    line: number,
    column: number,
  ) => {
    place ??= { line: line + 1, column: column + 1 };
  };
  try {
    visit(text, { onError }, { disallowComments: true, allowTrailingComma: false });
  } catch {
    // The parser is recursive: deeply nested brackets exhaust the stack. The error is then reported without a position.
  }
  return place;
}

/**
 * Parses a body as UTF-8 JSON.
 *
 * @param body - the bytes as received.
 * @param findings - receives the mistake if the body cannot be parsed.
 * @returns The value, or `undefined` if the body cannot be parsed.
 */
export function parseJsonBody(body: Uint8Array, findings: Findings): JsonValue {
  let text: string;
  try {
    text = new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    findings.add({ field: 'body' }, 'must be UTF-8 text');
    return undefined;
  }
  try {
    return JSON.parse(text) as JsonValue;
  } catch {
    findings.add({ field: 'body', ...locateSyntaxError(text) }, 'must be JSON');
    return undefined;
  }
}

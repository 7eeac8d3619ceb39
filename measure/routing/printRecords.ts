/**
 * Prints records of one kind as a table or as JSON lines.
 */
import type { Writable } from 'node:stream';

const FRACTION_DIGITS = 3;

function cell(value: unknown): string {
  if (typeof value !== 'number' || Number.isInteger(value)) return String(value);
  return value.toFixed(FRACTION_DIGITS);
}

/**
 * @param stream - where to.
 * @param records - all with the same fields.
 * @param json - one object a line instead of a table.
 */
export function printRecords<Item extends object>(
  stream: Writable,
  records: readonly Item[],
  json: boolean,
): void {
  if (json) {
    for (const record of records) stream.write(`${JSON.stringify(record)}\n`);
    return;
  }
  const titles = Object.keys(records[0] ?? {});
  const rows = [titles, ...records.map((record) => Object.values(record).map(cell))];
  const widths = titles.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)));
  for (const row of rows)
    stream.write(`${row.map((text, column) => text.padStart(widths[column]!)).join('  ')}\n`);
  stream.write('\n');
}

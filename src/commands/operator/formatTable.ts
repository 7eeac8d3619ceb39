/**
 * Formats tables for terminals; each column is as wide as its widest cell.
 */

const GAP = '  ';

/**
 * @param headings - headings of the columns.
 * @param rows - the cells of each row, one for each heading.
 * @returns The lines, each with a line end; "none" if there are no rows.
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  if (rows.length === 0) return 'none\n';
  const all = [headings.map((heading) => heading.toUpperCase()), ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...all.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines = all.map((cells) =>
    widths
      .map((width, column) => (cells[column] ?? '').padEnd(width))
      .join(GAP)
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}

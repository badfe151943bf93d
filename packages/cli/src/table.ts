/** Renders rows as a table of plain text. */

export type Cell = string | number | boolean | null;

const GAP = '  ';

/** Renders a heading and one line per row; columns of numbers are right-aligned. */
export function renderTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly Cell[]>,
): string {
  const texts = rows.map(row =>
    row.map(cell => (cell === null ? '-' : `${cell}`)),
  );
  const widths = headings.map((heading, i) =>
    Math.max(heading.length, ...texts.map(row => row[i].length)),
  );
  const isNumber = headings.map((_, i) =>
    rows.every(row => typeof row[i] === 'number' || row[i] === null),
  );
  const renderLine = (cells: readonly string[]) =>
    cells
      .map((cell, i) =>
        isNumber[i] ? cell.padStart(widths[i]) : cell.padEnd(widths[i]),
      )
      .join(GAP)
      .trimEnd();
  return [headings, ...texts].map(renderLine).join('\n');
}

/** Renders all fields of `items` as a table, in the key order of the first item. */
export function renderItems(
  items: ReadonlyArray<Readonly<Record<string, Cell>>>,
): string {
  if (items.length === 0) return 'none';
  const headings = Object.keys(items[0]);
  return renderTable(
    headings,
    items.map(item => headings.map(heading => item[heading])),
  );
}

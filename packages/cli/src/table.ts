/** Renders rows as a table for people. */

export type Cell = string | number | boolean | null;

const GAP = '  ';

/** One line a row under a heading; numbers stand to the right. */
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

/** A table of all fields of `items`, in the order of the first one's keys. */
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

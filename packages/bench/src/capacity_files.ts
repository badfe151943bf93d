/** Reads and writes the capacity page and the recorded slopes. */

import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {fillSheet} from './capacity_sheet.js';
import type {Slope} from './slope.js';

const DOCS_DIRECTORY = fileURLToPath(
  new URL('../../../docs/', import.meta.url),
);
const PAGE_PATH = `${DOCS_DIRECTORY}CAPACITY.md`;
const SLOPES_PATH = `${DOCS_DIRECTORY}capacity-slopes.json`;

export function readCapacityPage(): string {
  return readFileSync(PAGE_PATH, 'utf8');
}

/** Returns the values of the recorded slopes by name. */
export function readRecordedSlopes(): ReadonlyMap<string, number> {
  const slopes = JSON.parse(
    readFileSync(SLOPES_PATH, 'utf8'),
  ) as readonly Slope[];
  return new Map(slopes.map(({name, value}) => [name, value]));
}

/** Records slopes and recomputes the page from them. */
export function recordSlopes(slopes: readonly Slope[]): void {
  // One slope per line, which is how prettier formats the file.
  const lines = slopes.map(
    ({name, value, unit}) =>
      `  {"name": "${name}", "value": ${value}, "unit": "${unit}"}`,
  );
  writeFileSync(SLOPES_PATH, `[\n${lines.join(',\n')}\n]\n`);
  writeFileSync(PAGE_PATH, fillSheet(readCapacityPage(), readRecordedSlopes()));
}

import test from 'ava';
import {readCapacityPage, readRecordedSlopes} from '../capacity_files.js';
import {
  evaluateSheet,
  formatValue,
  computeVerdict,
  readSheet,
} from '../capacity_sheet.js';

// Guards against figures on the page that were not recomputed after a change: they
// would mislead operators about the sizes to which the design scales.
test('every figure of docs/CAPACITY.md follows from the recorded slopes', t => {
  const rows = readSheet(readCapacityPage());
  const values = evaluateSheet(rows, readRecordedSlopes());
  t.true(rows.length > 40);
  for (const row of rows) {
    const found = formatValue(values.get(row.name)!);
    t.is(row.stated, found, `${row.name}, line ${row.line + 1}`);
    t.is(
      row.verdict,
      computeVerdict(row, values),
      `${row.name}, line ${row.line + 1}`,
    );
  }
});

test('an invalid formula is an error', t => {
  const page = (formula: string) =>
    `| name | formula | value | unit |\n| --- | --- | --- | --- |\n| a | ${formula} | 1 | B |`;
  for (const formula of ['unknown', '1 +', '(1', '1 1', '']) {
    const rows = readSheet(page(formula));
    t.throws(() => evaluateSheet(rows, new Map()), undefined, formula);
  }
  const [row] = readSheet(page('2 * (3 + 4) - 6 / 4'));
  t.is(evaluateSheet([row], new Map()).get('a'), 12.5);
});

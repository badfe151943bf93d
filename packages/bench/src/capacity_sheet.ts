/**
 * The arithmetic of docs/CAPACITY.md. Tables whose first two columns are `name`
 * and `formula` are a sheet: a row may use the measured slopes and any row above
 * it, and `value` is what its formula gives.
 */

/** One row of a sheet, with the value that the page states. */
export interface SheetRow {
  readonly line: number;
  readonly name: string;
  readonly formula: string;
  readonly stated: string;
  /** `within X` or `over X`, where the row is held against the row X. */
  readonly verdict: string;
}

const HEADER = '| name | formula | value |';
const TOKEN_PATTERN = /\s*([A-Za-z_][A-Za-z0-9_]*|\d+(?:\.\d+)?|[-+*/()])/y;
const SIGNIFICANT_DIGITS = 3;

/** Finds all rows of sheets in a page. */
export function readSheet(page: string): readonly SheetRow[] {
  const rows: SheetRow[] = [];
  let isInSheet = false;
  for (const [line, text] of page.split('\n').entries()) {
    if (text.startsWith(HEADER)) isInSheet = true;
    else if (!text.startsWith('|')) isInSheet = false;
    else if (isInSheet && !text.startsWith('| ---'))
      rows.push(parseRow(line, text));
  }
  return rows;
}

/** Values of all rows, by name, on top of the slopes. */
export function evaluateSheet(
  rows: readonly SheetRow[],
  slopes: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const values = new Map(slopes);
  for (const {name, formula} of rows) {
    if (values.has(name)) throw new Error(`${name} is defined twice`);
    values.set(name, new Formula(formula, values).evaluate());
  }
  return values;
}

/** A value as the page states it. */
export function formatValue(value: number): string {
  const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return String(rounded);
}

/** How a row stands against the row that its verdict names. */
export function computeVerdict(
  row: SheetRow,
  values: ReadonlyMap<string, number>,
): string {
  const limit = /^(?:within|over) (\w+)/.exec(row.verdict)?.[1];
  if (!limit) return row.verdict;
  const isWithin = values.get(row.name)! <= values.get(limit)!;
  return `${isWithin ? 'within' : 'over'} ${limit}`;
}

/** The page with all values and verdicts worked out anew. */
export function fillSheet(
  page: string,
  slopes: ReadonlyMap<string, number>,
): string {
  const rows = readSheet(page);
  const values = evaluateSheet(rows, slopes);
  const lines = page.split('\n');
  for (const row of rows) {
    const cells = lines[row.line].split('|');
    cells[3] = ` ${formatValue(values.get(row.name)!)} `;
    if (row.verdict) cells[5] = ` ${computeVerdict(row, values)} `;
    lines[row.line] = cells.join('|');
  }
  return lines.join('\n');
}

function parseRow(line: number, text: string): SheetRow {
  const cells = text.split('|').map(cell => cell.trim());
  const [, name, formula, stated, , verdict = ''] = cells;
  const isVerdict = /^(within|over) \w+$/.test(verdict);
  return {
    line,
    name: name.replaceAll('`', ''),
    formula: formula.replaceAll('`', ''),
    stated,
    verdict: isVerdict ? verdict : '',
  };
}

/** Sums, differences, products and quotients of numbers and names. */
class Formula {
  private readonly tokens: readonly string[];
  private position = 0;

  constructor(
    private readonly text: string,
    private readonly values: ReadonlyMap<string, number>,
  ) {
    this.tokens = this.tokenize();
  }

  evaluate(): number {
    const value = this.evaluateSum();
    if (this.position < this.tokens.length) this.fail();
    return value;
  }

  private tokenize(): readonly string[] {
    const tokens: string[] = [];
    TOKEN_PATTERN.lastIndex = 0;
    while (TOKEN_PATTERN.lastIndex < this.text.trimEnd().length) {
      const match = TOKEN_PATTERN.exec(this.text);
      if (!match) return this.fail();
      tokens.push(match[1]);
    }
    return tokens;
  }

  private evaluateSum(): number {
    let value = this.evaluateProduct();
    for (;;) {
      if (this.consume('+')) value += this.evaluateProduct();
      else if (this.consume('-')) value -= this.evaluateProduct();
      else return value;
    }
  }

  private evaluateProduct(): number {
    let value = this.evaluateOperand();
    for (;;) {
      if (this.consume('*')) value *= this.evaluateOperand();
      else if (this.consume('/')) value /= this.evaluateOperand();
      else return value;
    }
  }

  private evaluateOperand(): number {
    if (this.consume('(')) {
      const value = this.evaluateSum();
      if (!this.consume(')')) this.fail();
      return value;
    }
    const token = this.tokens[this.position++] ?? this.fail();
    const value = /^\d/.test(token) ? Number(token) : this.values.get(token);
    return value ?? this.fail();
  }

  private consume(token: string): boolean {
    if (this.tokens[this.position] !== token) return false;
    this.position++;
    return true;
  }

  private fail(): never {
    const token = this.tokens?.[this.position - 1] ?? '';
    throw new Error(`can not work out "${this.text}" (at "${token}")`);
  }
}

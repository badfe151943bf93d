/**
 * Evaluates the calculations in docs/CAPACITY.md. The tables that begin with the
 * columns `name`, `formula` and `value` form a sheet: a formula may refer to measured
 * slopes and to any row above it, and `value` is its result.
 */

/** One row of a sheet and the value stated on the page. */
export interface SheetRow {
  readonly line: number;
  readonly name: string;
  readonly formula: string;
  readonly stated: string;
  /** `within X` or `over X` if the row is compared with row X; else empty. */
  readonly verdict: string;
}

const HEADER = '| name | formula | value |';
const TOKEN_PATTERN = /\s*([A-Za-z_][A-Za-z0-9_]*|\d+(?:\.\d+)?|[-+*/()])/y;
const SIGNIFICANT_DIGITS = 3;

/** Parses all sheet rows of a page. */
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

/** Returns the values of all rows and slopes by name. */
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

/** Formats a value as the page states it. */
export function formatValue(value: number): string {
  const rounded = Number(value.toPrecision(SIGNIFICANT_DIGITS));
  return String(rounded);
}

/** Compares a row with the row that its verdict names. */
export function computeVerdict(
  row: SheetRow,
  values: ReadonlyMap<string, number>,
): string {
  const limit = /^(?:within|over) (\w+)/.exec(row.verdict)?.[1];
  if (!limit) return row.verdict;
  const isWithin = values.get(row.name)! <= values.get(limit)!;
  return `${isWithin ? 'within' : 'over'} ${limit}`;
}

/** Returns the page with all values and verdicts recomputed. */
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

/** Evaluates an arithmetic expression of numbers and names by recursive descent. */
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
    throw new Error(`invalid formula "${this.text}" (at "${token}")`);
  }
}

/** What is wrong with a settings or rules file, where, and what was expected. */

/** One mistake in an INI file. */
export interface ConfigProblem {
  readonly file: string;
  /** Counts from 1; 0 where something is missing and has no line. */
  readonly line: number;
  /** Empty outside any section. */
  readonly section: string;
  /** Empty when the section as a whole is wrong. */
  readonly key: string;
  readonly expected: string;
  readonly found: string;
}

/** Renders a problem as one line for a terminal or a log. */
export function formatProblem(problem: ConfigProblem): string {
  const {file, line, section, key, expected, found} = problem;
  const location = line > 0 ? `${file}:${line}` : file;
  const subject = [section && `[${section}]`, key].filter(Boolean).join(' ');
  return `${location}: ${subject || 'file'}: expected ${expected}, found ${found}`;
}

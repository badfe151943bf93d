/**
 * Mistakes in settings and rules files, with their location and the expected
 * value.
 */

/** One mistake in an INI file. */
export interface ConfigProblem {
  readonly file: string;
  /**
   * Line number from 1; 0 if something is missing and therefore has no line.
   */
  readonly line: number;
  /** Empty if the mistake is outside any section. */
  readonly section: string;
  /** Empty if the mistake concerns the section as such. */
  readonly key: string;
  readonly expected: string;
  readonly found: string;
}

/** Formats a problem as one line for a terminal or a log. */
export function formatProblem(problem: ConfigProblem): string {
  const {file, line, section, key, expected, found} = problem;
  const location = line > 0 ? `${file}:${line}` : file;
  const subject = [section && `[${section}]`, key].filter(Boolean).join(' ');
  return `${location}: ${subject || 'file'}: expected ${expected}, found ${found}`;
}

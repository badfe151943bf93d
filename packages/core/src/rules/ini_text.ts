/**
 * Splits INI text into sections and keys, in the order of the text. Only single
 * values are passed to the `ini` library: given a complete file, it silently
 * merges duplicates, splits section names at dots and sorts numeric names first,
 * each of which would change the meaning of the configuration.
 */

import {parse} from 'ini';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {ConfigProblem} from './config_problem.js';

export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** Longest accepted text; guards against reading a wrong file. */
export const MAX_INI_BYTES = 1_048_576;

const SECTION_LINE = /^\[([^\]]+)\]\s*(?:[;#].*)?$/;
const BLANK_LINE = /^(?:[;#].*)?$/;

interface OpenSection {
  readonly name: string;
  readonly line: number;
  readonly entries: IniEntry[];
}

/** Parses `text`; `file` is the name that problems are reported under. */
export function readIni(
  text: string,
  file: string,
): Result<readonly IniSection[], readonly ConfigProblem[]> {
  if (text.length > MAX_INI_BYTES) {
    return fail([
      createProblem(file, 0, '', '', `at most ${MAX_INI_BYTES} bytes`, 'more'),
    ]);
  }
  const reader = new IniReader(file);
  text
    .replace(/^\uFEFF/, '')
    .split(/\r?\n/)
    .forEach((line, index) => reader.readLine(line.trim(), index + 1));
  return reader.problems.length > 0
    ? fail(reader.problems)
    : succeed([...reader.sections.values()]);
}

class IniReader {
  readonly sections = new Map<string, OpenSection>();
  readonly problems: ConfigProblem[] = [];
  private current: OpenSection | undefined;

  constructor(private readonly file: string) {}

  readLine(text: string, line: number): void {
    if (BLANK_LINE.test(text)) return;
    const section = SECTION_LINE.exec(text);
    if (section) this.openSection(section[1].trim(), line);
    else this.addEntry(text, line);
  }

  private openSection(name: string, line: number): void {
    const earlier = this.sections.get(name);
    if (earlier) {
      this.report(
        line,
        name,
        '',
        'each section once',
        describeDuplicate(earlier),
      );
    }
    this.current = {name, line, entries: []};
    this.sections.set(name, this.current);
  }

  private addEntry(text: string, line: number): void {
    const section = this.current;
    const entry = decodeEntry(text, line);
    if (!section) {
      this.report(line, '', text, 'a [section] before the first key', 'none');
    } else if (!entry) {
      this.report(line, section.name, text, 'key = value', 'another form');
    } else {
      const earlier = section.entries.find(e => e.key === entry.key);
      if (earlier) {
        const found = describeDuplicate(earlier);
        this.report(line, section.name, entry.key, 'each key once', found);
      }
      section.entries.push(entry);
    }
  }

  private report(
    line: number,
    section: string,
    key: string,
    expected: string,
    found: string,
  ): void {
    this.problems.push(
      createProblem(this.file, line, section, key, expected, found),
    );
  }
}

function decodeEntry(text: string, line: number): IniEntry | undefined {
  const equals = text.indexOf('=');
  const key = text.slice(0, Math.max(0, equals)).trim();
  if (key === '' || key.endsWith('[]')) return undefined;
  // The library parses a key with dots whose value is `null` as a nested section
  // and returns an object, so the value is parsed under a fixed key.
  const {value} = parse(`value = ${text.slice(equals + 1)}`);
  return {key, value: String(value), line};
}

function describeDuplicate(earlier: {readonly line: number}): string {
  return `a second one (the first is in line ${earlier.line})`;
}

function createProblem(
  file: string,
  line: number,
  section: string,
  key: string,
  expected: string,
  found: string,
): ConfigProblem {
  return {file, line, section, key, expected, found};
}

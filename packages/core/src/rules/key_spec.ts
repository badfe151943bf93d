/**
 * Specifications of INI keys: type, default and description. The same tables
 * parse a file, provide the error messages and are checked against the
 * documentation.
 */

import {z} from 'zod';
import type {ConfigProblem} from './config_problem.js';
import type {IniSection} from './ini_text.js';

/** Parses the text of a value into `T` and describes the accepted text. */
export interface ValueType<T> {
  readonly schema: z.ZodType<T, string>;
  /** Completes the message "expected …"; includes unit and range. */
  readonly expected: string;
  /** Unit for the documentation; `-` for none. */
  readonly unit: string;
  readonly range: string;
}

/** Specification of one key of a section. */
export interface KeySpec<T> {
  readonly type: ValueType<T>;
  readonly description: string;
  /**
   * Text used when the key is absent. Without it and `optional`, the key is
   * required.
   */
  readonly defaultText?: string;
  /** Whether an absent key is read as undefined. */
  readonly optional?: boolean;
}

export type SectionSpec = Readonly<Record<string, KeySpec<unknown>>>;

export type SectionValues<S extends SectionSpec> = {
  readonly [K in keyof S]: S[K] extends KeySpec<infer T> ? T : never;
};

const DURATION_UNITS_MS = {ms: 1, s: 1000, m: 60_000, h: 3_600_000} as const;
const MAX_PORT = 65_535;
const SIZE_UNITS_BYTES = {B: 1, KiB: 1024, MiB: 1_048_576} as const;

/** A key that must be present. */
export function required<T>(
  type: ValueType<T>,
  description: string,
): KeySpec<T> {
  return {type, description};
}

/** A key with a default, given as the text that a file would contain. */
export function withDefault<T>(
  type: ValueType<T>,
  defaultText: string,
  description: string,
): KeySpec<T> {
  return {type, description, defaultText};
}

/** A key that is read as undefined when it is absent. */
export function optional<T>(
  type: ValueType<T>,
  description: string,
): KeySpec<T | undefined> {
  return {type, description, optional: true} as KeySpec<T | undefined>;
}

function createType<T>(
  parse: (text: string) => T | undefined,
  expected: string,
  unit: string,
  range: string,
): ValueType<T> {
  const schema = z.string().transform((text, ctx) => {
    const value = parse(text);
    if (value !== undefined) return value;
    ctx.addIssue({code: 'custom', message: expected});
    return z.NEVER;
  });
  return {schema: schema as z.ZodType<T, string>, expected, unit, range};
}

export function integerType(min: number, max: number): ValueType<number> {
  return createType(
    text => parseInRange(/^-?\d+$/.test(text) ? Number(text) : NaN, min, max),
    `a whole number from ${min} to ${max}`,
    '-',
    `${min} to ${max}`,
  );
}

/** A duration with a unit, parsed to milliseconds. */
export function durationType(min: string, max: string): ValueType<number> {
  const read = (text: string) => parseWithUnit(text, DURATION_UNITS_MS);
  return createType(
    text => parseInRange(read(text), read(min), read(max)),
    `a duration with a unit (ms, s, m or h) from ${min} to ${max}`,
    'ms, s, m or h',
    `${min} to ${max}`,
  );
}

/** A size with a unit, parsed to bytes. */
export function sizeType(min: string, max: string): ValueType<number> {
  const read = (text: string) => parseWithUnit(text, SIZE_UNITS_BYTES);
  return createType(
    text => parseInRange(read(text), read(min), read(max)),
    `a size with a unit (B, KiB or MiB) from ${min} to ${max}`,
    'B, KiB or MiB',
    `${min} to ${max}`,
  );
}

export function choiceType<T extends string>(
  choices: readonly T[],
): ValueType<T> {
  return createType(
    text => choices.find(choice => choice === text),
    `one of ${choices.join(', ')}`,
    '-',
    choices.join(', '),
  );
}

/** A boolean written as one of two words, such as `on` and `off`. */
export function switchType(yes: string, no: string): ValueType<boolean> {
  return createType(
    text => (text === yes ? true : text === no ? false : undefined),
    `${yes} or ${no}`,
    '-',
    `${yes}, ${no}`,
  );
}

/** A name that needs no escaping in logs, metrics and paths. */
export function nameType(): ValueType<string> {
  return patternType(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/,
    'a name of 1 to 100 letters, digits, ".", "_" or "-"',
    'name',
  );
}

export function patternType(
  pattern: RegExp,
  expected: string,
  range: string,
): ValueType<string> {
  return createType(
    text => (pattern.test(text) ? text : undefined),
    expected,
    '-',
    range,
  );
}

/** An IP address with a port; host names are rejected. */
export function addressType(): ValueType<string> {
  return createType(
    text => (isAddress(text) ? text : undefined),
    'ip:port, as 10.0.0.1:8080 or [fd00::1]:8080',
    'ip:port',
    'port 0 to 65535',
  );
}

/** A comma-separated list without duplicates. */
export function listType<T>(
  item: ValueType<T>,
  max: number,
): ValueType<readonly T[]> {
  return createType(
    text => parseList(text, item, max),
    `1 to ${max} values with commas between, none twice, each ${item.expected}`,
    item.unit,
    `1 to ${max} of: ${item.range}`,
  );
}

function parseList<T>(
  text: string,
  item: ValueType<T>,
  max: number,
): readonly T[] | undefined {
  const parts = text.split(',').map(part => part.trim());
  if (parts.length > max || new Set(parts).size < parts.length) {
    return undefined;
  }
  const values: T[] = [];
  for (const part of parts) {
    const parsed = item.schema.safeParse(part);
    if (!parsed.success) return undefined;
    values.push(parsed.data);
  }
  return values;
}

function parseInRange(
  value: number,
  min: number,
  max: number,
): number | undefined {
  return value >= min && value <= max ? value : undefined;
}

function parseWithUnit(
  text: string,
  units: Readonly<Record<string, number>>,
): number {
  const match = /^(\d{1,12})([A-Za-z]+)$/.exec(text);
  if (!match || !Object.hasOwn(units, match[2])) return NaN;
  return Number(match[1]) * units[match[2]];
}

function isAddress(text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  if (!match || Number(match[3]) > MAX_PORT) return false;
  const host = match[1] ? z.ipv6() : z.ipv4();
  return host.safeParse(match[1] ?? match[2]).success;
}

/**
 * Parses a section according to `spec` and appends any mistakes to `problems`.
 */
export function readSection<S extends SectionSpec>(
  section: IniSection,
  spec: S,
  file: string,
  problems: ConfigProblem[],
): SectionValues<S> {
  reportUnknownKeys(section, Object.keys(spec), file, problems);
  const values: Record<string, unknown> = {};
  for (const [key, keySpec] of Object.entries(spec)) {
    values[key] = readKey(section, key, keySpec, file, problems);
  }
  return values as SectionValues<S>;
}

function readKey(
  section: IniSection,
  key: string,
  spec: KeySpec<unknown>,
  file: string,
  problems: ConfigProblem[],
): unknown {
  const entry = section.entries.find(e => e.key === key);
  const text = entry?.value ?? spec.defaultText;
  if (text === undefined && spec.optional) return undefined;
  const parsed = spec.type.schema.safeParse(text);
  if (parsed.success) return parsed.data;
  problems.push({
    file,
    line: entry?.line ?? section.line,
    section: section.name,
    key,
    expected: spec.type.expected,
    found: entry ? JSON.stringify(entry.value) : 'nothing',
  });
  return undefined;
}

function reportUnknownKeys(
  section: IniSection,
  allowedKeys: readonly string[],
  file: string,
  problems: ConfigProblem[],
): void {
  for (const entry of section.entries) {
    if (allowedKeys.includes(entry.key)) continue;
    problems.push({
      file,
      line: entry.line,
      section: section.name,
      key: entry.key,
      expected: `one of the keys ${allowedKeys.join(', ')}`,
      found: 'an unknown key',
    });
  }
}

/** Parses the lines of a VM's log for fault analysis. */

import type {LogEventName} from '@radishyoke/shared/log_event';

/** Value of a field of a line. */
export type TraceValue = string | number | boolean | undefined;

export interface TraceLine {
  readonly vm: string;
  /** Position in the log of its process, from 0. */
  readonly sequence: number;
  /** Unix ms by the VM's clock. */
  readonly timeMs: number;
  readonly event: LogEventName | string;
  readonly fields: Readonly<Record<string, TraceValue>>;
}

/** Fields that are present in every line and do not describe its event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'vm',
  'application',
  'logLevel',
]);

/**
 * Parses a log line; returns undefined if the text is not one. Any prefix that a
 * log collector put before the JSON object is skipped.
 */
export function parseTraceLine(text: string): TraceLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  const value = parseObject(text.slice(start));
  const context = value && asObject(value['context']);
  if (!value || !context) return undefined;
  const {message, time, sequence} = value;
  const {vm} = context;
  if (typeof message !== 'string' || typeof vm !== 'string') return undefined;
  if (typeof time !== 'number') return undefined;
  return {
    vm,
    sequence: Number(sequence) || 0,
    timeMs: time,
    event: message,
    fields: pickFields(context),
  };
}

/** Parses a log; text that is not a log line is ignored. */
export function parseTraceLines(text: string): readonly TraceLine[] {
  return text
    .split('\n')
    .map(parseTraceLine)
    .filter(line => line !== undefined);
}

/** Returns the value of a field as text; empty if the line lacks the field. */
export function readText(line: TraceLine, field: string): string {
  return String(line.fields[field] ?? '');
}

function pickFields(
  context: Readonly<Record<string, unknown>>,
): Readonly<Record<string, TraceValue>> {
  const fields: Record<string, TraceValue> = {};
  for (const [name, value] of Object.entries(context)) {
    if (COMMON_FIELDS.has(name)) continue;
    const isPlain = ['string', 'number', 'boolean'].includes(typeof value);
    if (isPlain) fields[name] = value as TraceValue;
  }
  return fields;
}

function parseObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    return asObject(JSON.parse(text));
  } catch {
    return undefined;
  }
}

function asObject(
  value: unknown,
): Readonly<Record<string, unknown>> | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  return value as Readonly<Record<string, unknown>>;
}

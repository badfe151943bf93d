/** One line of a VM's log, as whoever looks into a fault reads it. */

import type {LogEventName} from '@radishyoke/shared/log_event';

/** Values of a line's fields. */
export type TraceValue = string | number | boolean | undefined;

export interface TraceLine {
  readonly vm: string;
  /** Place in the log of its process, from 0. */
  readonly sequence: number;
  /** Unix ms by the VM's clock. */
  readonly timeMs: number;
  readonly event: LogEventName | string;
  readonly fields: Readonly<Record<string, TraceValue>>;
}

/** Fields that each line has and that say nothing of its event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'vm',
  'application',
  'logLevel',
]);

/**
 * Reads one line of a log, or undefined if it is none. Whatever a collector put
 * before the JSON object is skipped.
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

/** The lines of a log; whatever else stands between them is left out. */
export function parseTraceLines(text: string): readonly TraceLine[] {
  return text
    .split('\n')
    .map(parseTraceLine)
    .filter(line => line !== undefined);
}

/** A field's value as text; empty where the line has none. */
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

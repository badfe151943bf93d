/**
 * The path of a request, an item, a batch or an engine through all VMs: the
 * lines that tell of it, in an order that no cause breaks, and those that
 * explain them.
 */

import {alignClocks, alignTime, type ClockOffsets} from './clock_alignment.js';
import {readText, type TraceLine} from './trace_line.js';

/** Why a line is part of a path. */
export type TraceRole =
  /** It names what was asked for. */
  | 'subject'
  /** It names the batch of the item that was asked for. */
  | 'batch'
  /** It tells what the VMs or endpoints of the path went through meanwhile. */
  | 'context';

export interface TraceEntry {
  /** Unix ms on the common time line. */
  readonly atMs: number;
  readonly role: TraceRole;
  readonly line: TraceLine;
}

/** Lines this long before the first and after the last of the subject explain it, ms: a lease and a load. */
const CONTEXT_MS = 5000;
/** What VMs and endpoints go through, and what that says of a path. */
const CONTEXT_EVENTS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'stopped',
  'coordinator now',
  'coordinator no more',
  'topic can not be read',
  'topic is read again',
  'the VM was suspended or its clock was set',
  'items are run by another VM',
  'endpoint reborn',
  'endpoint draining',
  'endpoint left',
  'endpoints reborn',
  'endpoints draining',
  'endpoints left',
  'order to an engine',
  'log lines dropped',
]);
/** Of the same ms, what comes first by its nature. */
const EVENT_ORDER: readonly string[] = [
  'batch accepted',
  'coordinator now',
  'order to an engine',
  'run started',
  'run stopped',
  'run finished',
  'reward call started',
  'reward call ended',
  'item has a result',
  'batch end',
];

/** Finds the path of `id` among the lines of all VMs. */
export function tracePath(
  lines: readonly TraceLine[],
  id: string,
): readonly TraceEntry[] {
  const subject = lines.filter(line => isAbout(line, id));
  if (subject.length === 0) return [];
  const offsets = alignClocks(lines);
  const entries = subject.map(line => toEntry(line, 'subject', offsets));
  const batches = new Set(
    subject.map(line => readText(line, 'batch')).filter(text => text !== id),
  );
  batches.delete('');
  const included = new Set(subject);
  for (const line of lines) {
    if (included.has(line) || !isBatchLine(line, batches)) continue;
    included.add(line);
    entries.push(toEntry(line, 'batch', offsets));
  }
  const pathEntries = [...entries];
  for (const line of findConfigLines(lines, pathEntries, offsets)) {
    included.add(line);
    entries.push(toEntry(line, 'context', offsets));
  }
  for (const line of lines) {
    if (included.has(line)) continue;
    const entry = toEntry(line, 'context', offsets);
    if (isContextOf(entry, pathEntries)) entries.push(entry);
  }
  return sortEntries(entries, lines);
}

/** Whether the line names `id` as its request, item, batch or endpoint, or as what was asked. */
function isAbout(line: TraceLine, id: string): boolean {
  const isNamed = ['requestId', 'batch', 'fingerprint'].some(
    field => readText(line, field) === id,
  );
  return isNamed || listEndpoints(line).includes(id);
}

/** Endpoints that the line names: one, or several that changed at once. */
function listEndpoints(line: TraceLine): readonly string[] {
  const endpoint = readText(line, 'endpoint');
  if (endpoint !== '') return [endpoint];
  const endpoints = readText(line, 'endpoints');
  return endpoints === '' ? [] : endpoints.split(',');
}

/** Whether the line tells of one of `batches` as a whole. */
function isBatchLine(line: TraceLine, batches: ReadonlySet<string>): boolean {
  if (!line.event.startsWith('batch ')) return false;
  return batches.has(readText(line, 'requestId'));
}

/** Whether the step tells what VMs or endpoints of `path` went through then. */
function isContextOf(entry: TraceEntry, path: readonly TraceEntry[]): boolean {
  const {line, atMs} = entry;
  if (!CONTEXT_EVENTS.has(line.event)) return false;
  const isNear = path.some(other => Math.abs(other.atMs - atMs) <= CONTEXT_MS);
  if (!isNear) return false;
  const endpoints = listEndpoints(line);
  const model = readText(line, 'model');
  if (endpoints.length > 0) {
    return path.some(
      other =>
        endpoints.includes(readText(other.line, 'endpoint')) ||
        (model !== '' && readText(other.line, 'model') === model),
    );
  }
  if (line.event.startsWith('coordinator')) return hasItems(path);
  return path.some(other => other.line.vm === line.vm);
}

/**
 * For the first step of the path: the configuration in force on its VM, and the
 * newest that any VM had by then, which tells whether this one was behind.
 */
function findConfigLines(
  lines: readonly TraceLine[],
  path: readonly TraceEntry[],
  offsets: ClockOffsets,
): readonly TraceLine[] {
  const first = path.reduce((a, b) => (b.atMs < a.atMs ? b : a));
  let own: TraceLine | undefined;
  let newest: TraceLine | undefined;
  for (const line of lines) {
    if (line.event !== 'configuration in force') continue;
    if (alignTime(line, offsets) > first.atMs) continue;
    if (line.vm === first.line.vm) own = line;
    if (!newest || readVersion(line) > readVersion(newest)) newest = line;
  }
  const found = [own, newest].filter(line => line !== undefined);
  return [...new Set(found)];
}

function readVersion(line: TraceLine): number {
  return Number(line.fields['configVersion'] ?? 0);
}

/** Only items of batches go through the coordinator. */
function hasItems(path: readonly TraceEntry[]): boolean {
  return path.some(({line}) => line.event.startsWith('batch '));
}

function toEntry(
  line: TraceLine,
  role: TraceRole,
  offsets: ClockOffsets,
): TraceEntry {
  return {line, role, atMs: alignTime(line, offsets)};
}

/**
 * By time; the lines of one VM in the order in which they were given, which is
 * the one in which it wrote them, even where its clock went back meanwhile.
 */
function sortEntries(
  entries: readonly TraceEntry[],
  lines: readonly TraceLine[],
): readonly TraceEntry[] {
  const positions = new Map(lines.map((line, index) => [line, index]));
  const inWrittenOrder = [...entries].sort(
    (a, b) => positions.get(a.line)! - positions.get(b.line)!,
  );
  const latestByVm = new Map<string, number>();
  const monotonic = inWrittenOrder.map(entry => {
    const {vm} = entry.line;
    const atMs = Math.max(entry.atMs, latestByVm.get(vm) ?? -Infinity);
    latestByVm.set(vm, atMs);
    return {...entry, atMs};
  });
  return monotonic.sort(
    (a, b) => a.atMs - b.atMs || rankEvent(a) - rankEvent(b),
  );
}

function rankEvent({line}: TraceEntry): number {
  const rank = EVENT_ORDER.indexOf(line.event);
  return rank < 0 ? EVENT_ORDER.length : rank;
}

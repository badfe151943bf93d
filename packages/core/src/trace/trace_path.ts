/**
 * Traces a request, an item, a batch or an engine through the logs of all VMs:
 * the lines about it in causal order, with the lines that explain them.
 */

import {alignClocks, alignTime, type ClockOffsets} from './clock_alignment.js';
import {readText, type TraceLine} from './trace_line.js';

/** Why a line is part of a path. */
export type TraceRole =
  /** The line names the traced id. */
  | 'subject'
  /** The line is about the batch of the traced item. */
  | 'batch'
  /**
   * The line reports what happened to a VM or endpoint of the path at that
   * time.
   */
  | 'context';

export interface TraceEntry {
  /** Unix ms on the common time line. */
  readonly atMs: number;
  readonly role: TraceRole;
  readonly line: TraceLine;
}

/**
 * Context lines are included up to this long before or after a line of the
 * path, ms; it covers a lease and a weight load.
 */
const CONTEXT_MS = 5000;
/** Events of VMs and endpoints that can explain a path. */
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
/** Causal order of events that are logged in the same millisecond. */
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

/** Finds the path of `id` in the lines of all VMs. */
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

/**
 * Whether the line names `id` as its request, item, batch, endpoint or request
 * fingerprint.
 */
function isAbout(line: TraceLine, id: string): boolean {
  const isNamed = ['requestId', 'batch', 'fingerprint'].some(
    field => readText(line, field) === id,
  );
  return isNamed || listEndpoints(line).includes(id);
}

/**
 * Lists the endpoints that the line names: one, or several that changed
 * together.
 */
function listEndpoints(line: TraceLine): readonly string[] {
  const endpoint = readText(line, 'endpoint');
  if (endpoint !== '') return [endpoint];
  const endpoints = readText(line, 'endpoints');
  return endpoints === '' ? [] : endpoints.split(',');
}

/**
 * Whether the line is about one of `batches`, rather than about one of its
 * items.
 */
function isBatchLine(line: TraceLine, batches: ReadonlySet<string>): boolean {
  if (!line.event.startsWith('batch ')) return false;
  return batches.has(readText(line, 'requestId'));
}

/**
 * Whether the entry reports what happened to VMs or endpoints of `path` around
 * that time.
 */
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
 * Finds the configuration in force on the VM of the path's first entry, and the
 * newest one that any VM had by then, which shows whether that VM was behind.
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

/**
 * Whether the path concerns a batch; only batch items go through the
 * coordinator.
 */
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
 * Sorts entries by time. Lines of one VM keep the order in which they are given,
 * which is the order in which it wrote them, even if its clock was set back.
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

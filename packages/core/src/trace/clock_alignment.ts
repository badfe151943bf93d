/**
 * Aligns the log lines of VMs whose clocks differ on a common time line.
 *
 * All VMs read some facts from the platform's log within a few ms of each other
 * and log them: a configuration version in force, named weights, a change to an
 * endpoint. The times at which two VMs log the same fact show the difference
 * between their clocks.
 */

import {readText, type TraceLine} from './trace_line.js';

/** Milliseconds to add to the times of each VM. */
export type ClockOffsets = ReadonlyMap<string, number>;

/** By event, the fields that identify the same fact on every VM. */
const SHARED_FACTS: Readonly<Record<string, readonly string[]>> = {
  'configuration in force': ['configVersion'],
  'weights named': ['model', 'version'],
  'endpoint joined': ['endpoint', 'offset'],
  'endpoint draining': ['endpoint', 'offset'],
  'endpoint left': ['endpoint', 'offset'],
};

/**
 * Estimates the clock offsets of the VMs. Each offset is the median difference
 * between the VM's times and the median times of the shared facts; medians are
 * used because a VM may read a single fact late.
 */
export function alignClocks(lines: readonly TraceLine[]): ClockOffsets {
  const facts = new Map<string, Map<string, number>>();
  for (const line of lines) {
    const fact = buildFactKey(line);
    if (fact === undefined) continue;
    let times = facts.get(fact);
    if (!times) {
      times = new Map();
      facts.set(fact, times);
    }
    if (!times.has(line.vm)) times.set(line.vm, line.timeMs);
  }
  const differences = new Map<string, number[]>();
  for (const times of facts.values()) {
    if (times.size < 2) continue;
    const medianMs = findMedian([...times.values()]);
    for (const [vm, timeMs] of times) {
      const vmDifferences = differences.get(vm) ?? [];
      vmDifferences.push(medianMs - timeMs);
      differences.set(vm, vmDifferences);
    }
  }
  return new Map(
    [...differences].map(([vm, values]) => [vm, findMedian(values)]),
  );
}

/** Returns the time of a line on the common time line, Unix ms. */
export function alignTime(line: TraceLine, offsets: ClockOffsets): number {
  return line.timeMs + (offsets.get(line.vm) ?? 0);
}

function buildFactKey(line: TraceLine): string | undefined {
  const fields = SHARED_FACTS[line.event];
  if (!fields) return undefined;
  return [line.event, ...fields.map(field => readText(line, field))].join(' ');
}

/** Sorts `values` in place and returns their upper median. */
function findMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor(values.length / 2)];
}

/**
 * Puts the lines of many VMs on one time line, though their clocks differ.
 *
 * Every VM logs some facts that all learn from the platform's log within a few
 * ms: a version in force, weights that were named, an endpoint's entry. What two
 * VMs say of the time of the same fact tells how far their clocks are apart.
 */

import {readText, type TraceLine} from './trace_line.js';

/** How much is added to the times of each VM, ms. */
export type ClockOffsets = ReadonlyMap<string, number>;

/** Fields that name the same fact on every VM, by event. */
const SHARED_FACTS: Readonly<Record<string, readonly string[]>> = {
  'configuration in force': ['configVersion'],
  'weights named': ['model', 'version'],
  'endpoint joined': ['endpoint', 'offset'],
  'endpoint draining': ['endpoint', 'offset'],
  'endpoint left': ['endpoint', 'offset'],
};

/**
 * Estimates the offsets that make the VMs agree on shared facts: the median of
 * their differences from the median VM, since one VM may learn of a fact late.
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

/** Unix ms of the line on the common time line. */
export function alignTime(line: TraceLine, offsets: ClockOffsets): number {
  return line.timeMs + (offsets.get(line.vm) ?? 0);
}

function buildFactKey(line: TraceLine): string | undefined {
  const fields = SHARED_FACTS[line.event];
  if (!fields) return undefined;
  return [line.event, ...fields.map(field => readText(line, field))].join(' ');
}

function findMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor(values.length / 2)];
}

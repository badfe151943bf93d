/** One measured figure and how to take it. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** A figure under a name that docs/CAPACITY.md uses in its formulas. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export function createSlope(name: string, value: number, unit: string): Slope {
  return {name, value: Number(value.toPrecision(4)), unit};
}

/** Processor time of this process while `work` runs, ms. */
export function measureCpuMs(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 1000;
}

/** Bytes on the heap that `build` leaves behind. */
export function measureHeapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Keeps what was built alive until after the second look.
  return built === undefined ? 0 : Math.max(0, after - before);
}

/** The middle of several measurements, so that one pause does not count. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
}

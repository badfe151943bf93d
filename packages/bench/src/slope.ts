/** Measured figures and the helpers that measure them. */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** A measured figure; the formulas of docs/CAPACITY.md refer to it by name. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

export function createSlope(name: string, value: number, unit: string): Slope {
  return {name, value: Number(value.toPrecision(4)), unit};
}

/** Returns the processor time that this process uses while `work` runs, in ms. */
export function measureCpuMs(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 1000;
}

/** Returns the bytes by which `build` grows the heap, measured after garbage collection. */
export function measureHeapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Using the result here keeps it alive until after the second measurement.
  return built === undefined ? 0 : Math.max(0, after - before);
}

/** Returns the median, so that a single pause doesn't distort the result. */
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

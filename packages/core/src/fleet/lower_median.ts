/** Returns the lower median of `values`: of two values, the smaller one. */
export function findLowerMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

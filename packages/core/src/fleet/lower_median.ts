/** The lower middle of `values`: with two the smaller one is the measure. */
export function findLowerMedian(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

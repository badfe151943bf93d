/** Counts the complete groups of a batch, from its results in the index. */

/** Progress of one batch; a group is complete once all of its items have a result. */
export class GroupProgress {
  private readonly groupOfItem = new Map<string, number>();
  /** Items without a result, by group number. */
  private readonly itemsLeft = new Map<number, number>();
  private complete = 0;

  /** @param groupNumbers Number of the group of each item, in the order of `itemIds`. */
  constructor(itemIds: readonly string[], groupNumbers: readonly number[]) {
    for (const [index, id] of itemIds.entries()) {
      const group = groupNumbers[index];
      this.groupOfItem.set(id, group);
      this.itemsLeft.set(group, (this.itemsLeft.get(group) ?? 0) + 1);
    }
  }

  /** Number of complete groups. */
  get completeCount(): number {
    return this.complete;
  }

  /** Records the first result of an item. */
  recordResult(itemId: string): void {
    const group = this.groupOfItem.get(itemId);
    if (group === undefined) return;
    const left = this.itemsLeft.get(group)! - 1;
    this.itemsLeft.set(group, left);
    if (left === 0) this.complete += 1;
  }
}

/** Numbers the groups of `groups` in the order of their first occurrence. */
export function numberGroups(groups: readonly string[]): readonly number[] {
  const numbers = new Map<string, number>();
  return groups.map(group => {
    const number = numbers.get(group) ?? numbers.size;
    numbers.set(group, number);
    return number;
  });
}

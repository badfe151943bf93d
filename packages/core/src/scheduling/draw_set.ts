/** A set from which members are drawn at random in constant time. */

import {drawBelow, RandomBits} from './random_bits.js';

export class DrawSet<T> {
  private readonly members: T[] = [];
  private readonly positions = new Map<T, number>();

  get size(): number {
    return this.members.length;
  }

  has(member: T): boolean {
    return this.positions.has(member);
  }

  /** Adds or takes out. */
  set(member: T, isMember: boolean): void {
    const at = this.positions.get(member);
    if (isMember === (at !== undefined)) return;
    if (at === undefined) {
      this.positions.set(member, this.members.length);
      this.members.push(member);
      return;
    }
    const last = this.members.pop()!;
    this.positions.delete(member);
    if (last === member) return;
    this.members[at] = last;
    this.positions.set(last, at);
  }

  /** A member by chance; the set must not be empty. */
  draw(random: RandomBits): T {
    return this.members[drawBelow(random, this.members.length)];
  }

  list(): readonly T[] {
    return this.members;
  }
}

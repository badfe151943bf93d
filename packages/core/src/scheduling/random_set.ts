/** Implements a set that picks a random member in constant time. */

import {pickRandomBelow, RandomBits} from './random_bits.js';

export class RandomSet<T> {
  private readonly members: T[] = [];
  private readonly positions = new Map<T, number>();

  get size(): number {
    return this.members.length;
  }

  has(member: T): boolean {
    return this.positions.has(member);
  }

  /** Adds or removes a member. */
  setMember(member: T, isMember: boolean): void {
    const position = this.positions.get(member);
    if (isMember === (position !== undefined)) return;
    if (position === undefined) {
      this.positions.set(member, this.members.length);
      this.members.push(member);
      return;
    }
    const last = this.members.pop()!;
    this.positions.delete(member);
    if (last === member) return;
    this.members[position] = last;
    this.positions.set(last, position);
  }

  /** Returns a uniformly random member; the set must not be empty. */
  pickRandom(random: RandomBits): T {
    return this.members[pickRandomBelow(random, this.members.length)];
  }

  list(): readonly T[] {
    return this.members;
  }
}

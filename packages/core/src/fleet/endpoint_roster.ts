/**
 * Tracks the endpoints that may get work, folded from the platform's endpoint
 * list. Entries older than the current one are ignored. An endpoint whose entry
 * disappeared is used for a short grace time, since lists lose entries while
 * their store is unavailable.
 */

import {type EndpointEntry, isSameIncarnation} from './endpoint_entry.js';

/** What an entry changed. */
export type RosterChange =
  | {readonly kind: 'joined'; readonly entry: EndpointEntry}
  /** The endpoint restarted or moved, so state collected about it is void. */
  | {readonly kind: 'reborn'; readonly entry: EndpointEntry}
  | {readonly kind: 'updated'; readonly entry: EndpointEntry}
  | {readonly kind: 'draining'; readonly entry: EndpointEntry}
  | {readonly kind: 'left'; readonly entry: EndpointEntry}
  | {readonly kind: 'stale'; readonly entry: EndpointEntry};

interface Member {
  entry: EndpointEntry;
  /** Offset of the record that last changed it. */
  offset: number;
  removedAtMs: number | undefined;
}

export class EndpointRoster {
  private readonly members = new Map<string, Member>();
  /** Offsets of removals, so that an older entry does not undo a removal. */
  private readonly removals = new Map<string, number>();

  /**
   * @param removalGraceMs How long an endpoint whose entry disappeared is still
   *     used. Must be shorter than the time for which endpoints keep serving
   *     after they left.
   */
  constructor(private readonly removalGraceMs: number) {}

  /** Applies an entry at `offset` of the list's log. */
  put(entry: EndpointEntry, offset: number): RosterChange {
    const member = this.members.get(entry.id);
    const removalOffset = this.removals.get(entry.id) ?? -1;
    if (offset <= removalOffset || (member && offset <= member.offset)) {
      return {kind: 'stale', entry};
    }
    if (!member) {
      this.members.set(entry.id, {entry, offset, removedAtMs: undefined});
      return {kind: entry.isDraining ? 'draining' : 'joined', entry};
    }
    if (isOutdated(member.entry, entry)) return {kind: 'stale', entry};
    const isRestarted = !isSameIncarnation(member.entry, entry);
    const wasDraining = member.entry.isDraining && !isRestarted;
    member.entry = entry;
    member.offset = offset;
    member.removedAtMs = undefined;
    if (isRestarted) return {kind: 'reborn', entry};
    const isNewlyDraining = entry.isDraining && !wasDraining;
    return {kind: isNewlyDraining ? 'draining' : 'updated', entry};
  }

  /** Applies the removal of an entry at `offset`. */
  remove(id: string, offset: number, nowMs: number): RosterChange | undefined {
    const member = this.members.get(id);
    if (member && offset <= member.offset) return undefined;
    this.removals.set(id, offset);
    if (!member || member.removedAtMs !== undefined) return undefined;
    member.offset = offset;
    member.removedAtMs = nowMs;
    return {kind: 'left', entry: member.entry};
  }

  /** Drops endpoints whose grace time is over, and returns them. */
  prune(nowMs: number): readonly EndpointEntry[] {
    const dropped: EndpointEntry[] = [];
    for (const [id, member] of this.members) {
      if (this.isRetained(member, nowMs)) continue;
      this.members.delete(id);
      dropped.push(member.entry);
    }
    return dropped;
  }

  /** The last entry of the endpoint, draining or not, until it is dropped. */
  get(id: string): EndpointEntry | undefined {
    return this.members.get(id)?.entry;
  }

  /** Endpoints of `service` that may get new work. */
  listUsable(service: string, nowMs: number): readonly EndpointEntry[] {
    const usable: EndpointEntry[] = [];
    for (const member of this.members.values()) {
      const {entry} = member;
      if (entry.service !== service || entry.isDraining) continue;
      if (this.isRetained(member, nowMs)) usable.push(entry);
    }
    return usable;
  }

  listIds(): readonly string[] {
    return [...this.members.keys()];
  }

  get size(): number {
    return this.members.size;
  }

  private isRetained(member: Member, nowMs: number): boolean {
    if (member.removedAtMs === undefined) return true;
    return nowMs - member.removedAtMs < this.removalGraceMs;
  }
}

/**
 * A write of an endpoint may be delayed and land after newer ones. It then
 * belongs to an earlier incarnation or has a lower sequence. Applying it would
 * send work to an endpoint that has left, or to versions that it no longer has.
 */
function isOutdated(current: EndpointEntry, next: EndpointEntry): boolean {
  if (next.startedAtMs !== current.startedAtMs)
    return next.startedAtMs < current.startedAtMs;
  return next.sequence < current.sequence;
}

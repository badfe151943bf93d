/**
 * The endpoints that may get work, folded from the platform's list. Entries
 * older than the current one are ignored. An endpoint whose entry disappeared
 * is used for a short grace time, since lists lose entries while their store is
 * unavailable.
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
  goneAtMs: number | undefined;
}

export class EndpointRoster {
  private readonly members = new Map<string, Member>();
  /** Offsets of removals, so that an older entry does not undo a removal. */
  private readonly removals = new Map<string, number>();

  /**
   * @param goneGraceMs How long an endpoint whose entry disappeared is still
   *     used. Must be shorter than the time for which endpoints keep serving
   *     after they left.
   */
  constructor(private readonly goneGraceMs: number) {}

  /** Applies an entry at `offset` of the list's log. */
  put(entry: EndpointEntry, offset: number): RosterChange {
    const known = this.members.get(entry.id);
    const removedAt = this.removals.get(entry.id) ?? -1;
    if (offset <= removedAt || (known && offset <= known.offset)) {
      return {kind: 'stale', entry};
    }
    if (!known) {
      this.members.set(entry.id, {entry, offset, goneAtMs: undefined});
      return {kind: entry.isDraining ? 'draining' : 'joined', entry};
    }
    if (isOutdated(known.entry, entry)) return {kind: 'stale', entry};
    const isRestarted = !isSameIncarnation(known.entry, entry);
    const wasDraining = known.entry.isDraining && !isRestarted;
    known.entry = entry;
    known.offset = offset;
    known.goneAtMs = undefined;
    if (isRestarted) return {kind: 'reborn', entry};
    const isNewlyDraining = entry.isDraining && !wasDraining;
    return {kind: isNewlyDraining ? 'draining' : 'updated', entry};
  }

  /** Applies the removal of an entry at `offset`. */
  remove(id: string, offset: number, nowMs: number): RosterChange | undefined {
    const known = this.members.get(id);
    if (known && offset <= known.offset) return undefined;
    this.removals.set(id, offset);
    if (!known || known.goneAtMs !== undefined) return undefined;
    known.offset = offset;
    known.goneAtMs = nowMs;
    return {kind: 'left', entry: known.entry};
  }

  /** Drops endpoints whose grace time is over, and returns them. */
  sweep(nowMs: number): readonly EndpointEntry[] {
    const dropped: EndpointEntry[] = [];
    for (const [id, member] of this.members) {
      if (this.isAlive(member, nowMs)) continue;
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
      if (this.isAlive(member, nowMs)) usable.push(entry);
    }
    return usable;
  }

  listIds(): readonly string[] {
    return [...this.members.keys()];
  }

  get size(): number {
    return this.members.size;
  }

  private isAlive(member: Member, nowMs: number): boolean {
    if (member.goneAtMs === undefined) return true;
    return nowMs - member.goneAtMs < this.goneGraceMs;
  }
}

/**
 * A write of an endpoint may be delayed and land after newer ones. It then
 * belongs to an earlier incarnation or has a lower sequence. Applying it would
 * send work to an endpoint that has left, or to versions that it no longer has.
 */
function isOutdated(known: EndpointEntry, next: EndpointEntry): boolean {
  if (next.startedAtMs !== known.startedAtMs)
    return next.startedAtMs < known.startedAtMs;
  return next.sequence < known.sequence;
}

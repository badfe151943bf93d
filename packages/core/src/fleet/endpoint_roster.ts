/**
 * The endpoints that may get work, folded from the platform's list. An entry
 * that is older than what is known is ignored; one that is gone is used for a
 * short while yet, since lists lose entries while their store is away.
 */

import {type EndpointEntry, isSameIncarnation} from './endpoint_entry.js';

/** What an entry changed. */
export type RosterChange =
  | {readonly kind: 'joined'; readonly entry: EndpointEntry}
  /** The endpoint restarted or moved: what was known of it is void. */
  | {readonly kind: 'reborn'; readonly entry: EndpointEntry}
  | {readonly kind: 'updated'; readonly entry: EndpointEntry}
  | {readonly kind: 'draining'; readonly entry: EndpointEntry}
  | {readonly kind: 'left'; readonly entry: EndpointEntry}
  | {readonly kind: 'stale'; readonly entry: EndpointEntry};

interface Member {
  entry: EndpointEntry;
  /** Offset of the record that said so. */
  offset: number;
  goneAtMs: number | undefined;
}

export class EndpointRoster {
  private readonly members = new Map<string, Member>();
  /** Offsets of removals, so that an older entry does not undo one. */
  private readonly removals = new Map<string, number>();

  /**
   * @param goneGraceMs How long an endpoint whose entry vanished is still used.
   *     Must stay below the time that endpoints serve on after they left.
   */
  constructor(private readonly goneGraceMs: number) {}

  /** Takes an entry that stands at `offset` of the list's log. */
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

  /** Takes the removal of an entry that stands at `offset`. */
  remove(id: string, offset: number, nowMs: number): RosterChange | undefined {
    const known = this.members.get(id);
    if (known && offset <= known.offset) return undefined;
    this.removals.set(id, offset);
    if (!known || known.goneAtMs !== undefined) return undefined;
    known.offset = offset;
    known.goneAtMs = nowMs;
    return {kind: 'left', entry: known.entry};
  }

  /** Drops endpoints that are gone for good and returns them. */
  sweep(nowMs: number): readonly EndpointEntry[] {
    const dropped: EndpointEntry[] = [];
    for (const [id, member] of this.members) {
      if (this.isAlive(member, nowMs)) continue;
      this.members.delete(id);
      dropped.push(member.entry);
    }
    return dropped;
  }

  /** The endpoint as last told, draining or not, until it is gone. */
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
 * A write of an endpoint may be held up and land behind newer ones. It shows as
 * an entry of an earlier life, or with a lower count within one life; taking it
 * would send work to a worker that has left or to versions it no longer has.
 */
function isOutdated(known: EndpointEntry, next: EndpointEntry): boolean {
  if (next.startedAtMs !== known.startedAtMs)
    return next.startedAtMs < known.startedAtMs;
  return next.sequence < known.sequence;
}

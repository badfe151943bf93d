/**
 * Which VMs a VM probes. Up to `MAX_NEIGHBOURS` VMs, all; beyond that a fixed
 * number, so that what a VM sends does not grow with the number of VMs.
 *
 * All VMs stand on a ring in the order of a hash of their ids. Each probes the
 * next few of its own data centre and the next few of the others. Every VM thus
 * has predecessors that watch it, whoever else fails, and news crosses the ring
 * by the links between data centres in a few hops.
 */

import type {VmId} from '@radishyoke/shared/ids';
import type {Member} from './member.js';

/** Today's 13 VMs all probe one another. */
export const MAX_NEIGHBOURS = 16;
const LOCAL_NEIGHBOURS = 5;
const REMOTE_NEIGHBOURS = 3;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A VM's place on the ring. */
export function computeRingPosition(id: VmId): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), FNV_PRIME);
  }
  // FNV leaves ids that differ in the last character next to each other.
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** The VMs that `self` probes, out of those not failed. */
export function selectNeighbours(
  self: Member,
  others: readonly Member[],
): readonly VmId[] {
  if (others.length <= MAX_NEIGHBOURS) return others.map(other => other.id);
  const start = computeRingPosition(self.id);
  const ring = others
    .map(member => ({
      member,
      distance: (computeRingPosition(member.id) - start) >>> 0,
    }))
    .sort((a, b) => a.distance - b.distance || compareIds(a.member, b.member))
    .map(place => place.member);
  const local = ring.filter(other => other.dataCentre === self.dataCentre);
  const remote = ring.filter(other => other.dataCentre !== self.dataCentre);
  const near = local.slice(0, LOCAL_NEIGHBOURS);
  const total = LOCAL_NEIGHBOURS + REMOTE_NEIGHBOURS;
  const far = remote.slice(0, Math.max(REMOTE_NEIGHBOURS, total - near.length));
  const spare = total - near.length - far.length;
  const extra = local.slice(near.length, near.length + Math.max(0, spare));
  return [...near, ...far, ...extra].map(member => member.id);
}

function compareIds(a: Member, b: Member): number {
  return a.id < b.id ? -1 : 1;
}

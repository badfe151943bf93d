/**
 * Selects the VMs that a VM probes. With up to `MAX_NEIGHBOURS` other VMs it
 * probes all of them, with more a fixed number, so that its traffic does not
 * grow with the number of VMs.
 *
 * All VMs form a ring in the order of a hash of their ids. Each VM probes the
 * next few VMs of its own data centre and the next few of the others. So every
 * VM is watched by its predecessors, whichever VMs fail, and rumours cross the
 * ring over the links between data centres in a few hops.
 */

import type {VmId} from '@radishyoke/shared/ids';
import type {Member} from './member.js';

/**
 * Maximum number of other VMs that are all probed; enough for a deployment of
 * 13 VMs.
 */
export const MAX_NEIGHBOURS = 16;
const LOCAL_NEIGHBOURS = 5;
const REMOTE_NEIGHBOURS = 3;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a VM's position on the ring. */
export function computeRingPosition(id: VmId): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < id.length; i++) {
    hash = Math.imul(hash ^ id.charCodeAt(i), FNV_PRIME);
  }
  // FNV gives ids that differ only in the last character adjacent positions.
  hash = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the VMs that `self` probes out of `others`, which have not failed.
 */
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
    .map(entry => entry.member);
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

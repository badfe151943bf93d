/** Fair queueing by a linear scan: a simple reference for the optimized queue. */

import type {QueueEntry} from '../scheduling/fair_queue.js';

interface TenantQueue<T> {
  virtualStart: number;
  entries: T[];
}

export class NaiveFairQueue<T extends QueueEntry> {
  private readonly tenants = new Map<string, TenantQueue<T>>();
  private virtualNow = 0;

  push(entry: T): void {
    const tenant = this.tenants.get(entry.tenant) ?? {
      virtualStart: this.virtualNow,
      entries: [],
    };
    this.tenants.set(entry.tenant, tenant);
    if (tenant.entries.length === 0) {
      tenant.virtualStart = Math.max(tenant.virtualStart, this.virtualNow);
    }
    tenant.entries.push(entry);
  }

  /**
   * Returns the tenants that may be next; several if their virtual times are
   * equal.
   */
  listNextTenants(): readonly string[] {
    const busy = [...this.tenants].filter(([, t]) => t.entries.length > 0);
    const least = Math.min(...busy.map(([, t]) => t.virtualStart));
    return busy
      .filter(([, t]) => t.virtualStart === least)
      .map(([name]) => name);
  }

  /** Removes and returns the tenant's first entry. */
  popOf(name: string): T {
    const tenant = this.tenants.get(name)!;
    this.virtualNow = tenant.virtualStart;
    let best = tenant.entries[0];
    for (const entry of tenant.entries) if (isBetter(entry, best)) best = entry;
    tenant.entries = tenant.entries.filter(entry => entry !== best);
    tenant.virtualStart += Math.max(1, best.cost);
    return best;
  }

  remove(entry: T): void {
    const tenant = this.tenants.get(entry.tenant)!;
    tenant.entries = tenant.entries.filter(other => other !== entry);
  }
}

function isBetter(a: QueueEntry, b: QueueEntry): boolean {
  if (a.priority !== b.priority) return a.priority > b.priority;
  if (a.isStarted !== b.isStarted) return a.isStarted;
  if (a.deadlineAtMs !== b.deadlineAtMs) return a.deadlineAtMs < b.deadlineAtMs;
  return a.cost > b.cost;
}

/** Fair queueing by a scan of everything; the shortest obviously right version. */

import type {QueueEntry} from '../scheduling/fair_queue.js';

interface Tenant<T> {
  start: number;
  entries: T[];
}

export class NaiveFairQueue<T extends QueueEntry> {
  private readonly tenants = new Map<string, Tenant<T>>();
  private now = 0;

  push(entry: T): void {
    const tenant = this.tenants.get(entry.tenant) ?? {
      start: this.now,
      entries: [],
    };
    this.tenants.set(entry.tenant, tenant);
    if (tenant.entries.length === 0) {
      tenant.start = Math.max(tenant.start, this.now);
    }
    tenant.entries.push(entry);
  }

  /** Tenants that may be next: several where their clocks are level. */
  listNextTenants(): readonly string[] {
    const busy = [...this.tenants].filter(([, t]) => t.entries.length > 0);
    const least = Math.min(...busy.map(([, t]) => t.start));
    return busy.filter(([, t]) => t.start === least).map(([name]) => name);
  }

  /** Takes the tenant's best entry. */
  popOf(name: string): T {
    const tenant = this.tenants.get(name)!;
    this.now = tenant.start;
    let best = tenant.entries[0];
    for (const entry of tenant.entries) if (isBetter(entry, best)) best = entry;
    tenant.entries = tenant.entries.filter(entry => entry !== best);
    tenant.start += Math.max(1, best.cost);
    return best;
  }

  remove(entry: T): void {
    const tenant = this.tenants.get(entry.tenant)!;
    tenant.entries = tenant.entries.filter(other => other !== entry);
  }
}

function isBetter(a: QueueEntry, b: QueueEntry): boolean {
  if (a.priority !== b.priority) return a.priority > b.priority;
  if (a.begun !== b.begun) return a.begun;
  if (a.deadlineAtMs !== b.deadlineAtMs) return a.deadlineAtMs < b.deadlineAtMs;
  return a.cost > b.cost;
}

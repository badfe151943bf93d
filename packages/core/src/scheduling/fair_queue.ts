/**
 * Implements the queue of one endpoint group and one work class. It is fair among
 * tenants by cost; within a tenant, work items are ordered by priority, then those
 * started before, then by earliest deadline and highest cost.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {BinaryHeap} from './binary_heap.js';

/** Properties of a work item by which the queue orders it. */
export interface QueueEntry {
  readonly tenant: TenantId;
  /** Higher goes first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  /** Expected cost for an endpoint, in tokens. */
  readonly cost: number;
  /** Whether it was started before; goes first among equal priorities. */
  readonly isStarted: boolean;
}

interface QueuedEntry<T> {
  readonly entry: T;
  readonly cost: number;
  readonly order: number;
}

interface TenantQueue<T> {
  readonly tenant: TenantId;
  readonly entries: BinaryHeap<QueuedEntry<T>>;
  /** Virtual time at which the tenant's next entry starts. */
  virtualStart: number;
  cost: number;
  count: number;
  isActive: boolean;
}

/**
 * Tenants without queued entries are retained, with their virtual times, while
 * there are at most this many tenants.
 */
const MAX_IDLE_TENANTS = 1000;

/**
 * Start-time fair queueing: each tenant has a virtual time that advances by the
 * cost of its dequeued entries, and the tenant with the lowest virtual time is
 * next. A flood of entries delays only the tenant that sent it.
 */
export class FairQueue<T extends QueueEntry> {
  private readonly tenants = new Map<TenantId, TenantQueue<T>>();
  private readonly active = new BinaryHeap<TenantQueue<T>>(
    (a, b) => a.virtualStart < b.virtualStart,
  );
  private readonly removed = new Set<T>();
  private virtualNow = 0;
  private nextOrder = 0;
  private total = 0;
  private totalCost = 0;

  get size(): number {
    return this.total;
  }

  countOf(tenant: TenantId): number {
    return this.tenants.get(tenant)?.count ?? 0;
  }

  /**
   * Estimates the cost dequeued before a new entry of `tenant`: the cost of its
   * own queue, and at most as much for each other waiting tenant.
   */
  measureCostAhead(tenant: TenantId): number {
    const own = this.tenants.get(tenant)?.cost ?? 0;
    return Math.min(this.totalCost, own * Math.max(1, this.active.size));
  }

  /** Virtual time at which the next entry of `tenant` starts if it is pushed or queued now. */
  measureNextStart(tenant: TenantId): number {
    const queue = this.tenants.get(tenant);
    if (queue?.isActive) return queue.virtualStart;
    return Math.max(queue?.virtualStart ?? 0, this.virtualNow);
  }

  push(entry: T): void {
    const queue = this.getTenant(entry.tenant);
    queue.entries.push({entry, cost: entry.cost, order: this.nextOrder++});
    queue.cost += entry.cost;
    this.totalCost += entry.cost;
    queue.count++;
    this.total++;
    if (queue.isActive) return;
    // A tenant gets no credit for the time in which it had nothing queued.
    queue.virtualStart = Math.max(queue.virtualStart, this.virtualNow);
    queue.isActive = true;
    this.active.push(queue);
  }

  peek(): T | undefined {
    return this.findNext()?.entries.peek()!.entry;
  }

  pop(): T | undefined {
    const queue = this.findNext();
    if (!queue) return undefined;
    const {entry, cost} = queue.entries.pop()!;
    this.active.pop();
    this.virtualNow = queue.virtualStart;
    queue.virtualStart += Math.max(1, cost);
    this.subtract(queue, cost);
    this.reactivate(queue);
    return entry;
  }

  /** Removes an entry, which must be queued. */
  remove(entry: T): void {
    this.removed.add(entry);
    const queue = this.getTenant(entry.tenant);
    this.subtract(queue, entry.cost);
  }

  private subtract(queue: TenantQueue<T>, cost: number): void {
    queue.cost -= cost;
    this.totalCost -= cost;
    queue.count--;
    this.total--;
  }

  /** Returns the next tenant; discards removed entries at the heads of queues. */
  private findNext(): TenantQueue<T> | undefined {
    for (;;) {
      const queue = this.active.peek();
      if (!queue) return undefined;
      const head = queue.entries.peek();
      if (head && !this.removed.has(head.entry)) return queue;
      if (head) {
        queue.entries.pop();
        this.removed.delete(head.entry);
        continue;
      }
      this.active.pop();
      queue.isActive = false;
    }
  }

  private reactivate(queue: TenantQueue<T>): void {
    queue.isActive = queue.entries.size > 0;
    if (queue.isActive) this.active.push(queue);
    else if (this.tenants.size > MAX_IDLE_TENANTS) {
      this.tenants.delete(queue.tenant);
    }
  }

  private getTenant(tenant: TenantId): TenantQueue<T> {
    let queue = this.tenants.get(tenant);
    if (!queue) {
      queue = {
        tenant,
        entries: new BinaryHeap<QueuedEntry<T>>(isEntryBefore),
        virtualStart: this.virtualNow,
        cost: 0,
        count: 0,
        isActive: false,
      };
      this.tenants.set(tenant, queue);
    }
    return queue;
  }
}

function isEntryBefore<T extends QueueEntry>(
  a: QueuedEntry<T>,
  b: QueuedEntry<T>,
): boolean {
  const x = a.entry;
  const y = b.entry;
  if (x.priority !== y.priority) return x.priority > y.priority;
  if (x.isStarted !== y.isStarted) return x.isStarted;
  if (x.deadlineAtMs !== y.deadlineAtMs) return x.deadlineAtMs < y.deadlineAtMs;
  if (a.cost !== b.cost) return a.cost > b.cost;
  return a.order < b.order;
}

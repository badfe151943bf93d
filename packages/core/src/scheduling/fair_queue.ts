/**
 * The queue of one endpoint group and one work class: fair among tenants by
 * their cost, and within a tenant by priority, earliest deadline and longest
 * expected work.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {BinaryHeap} from './binary_heap.js';

/** What the queue needs to know of a work. */
export interface QueueEntry {
  readonly tenant: TenantId;
  /** Higher goes first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
  /** What it will take of an endpoint, in tokens. */
  readonly cost: number;
  /** Works that were begun before go first among equals. */
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
  /** Virtual time at which the tenant's next work starts. */
  virtualStart: number;
  cost: number;
  count: number;
  isActive: boolean;
}

/** Tenants without queued work are kept up to this many, to remember their share. */
const MAX_IDLE_TENANTS = 1000;

/**
 * Weighted fair queueing by start times: each tenant has a virtual clock that
 * advances by the cost of what it was given, and the one that lies furthest back
 * is next. A flood moves only the flooder's own clock.
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
   * Cost that is served before a new entry of `tenant` in fair turns: its own
   * queue, and of each other tenant that waits at most as much.
   */
  measureCostAhead(tenant: TenantId): number {
    const own = this.tenants.get(tenant)?.cost ?? 0;
    return Math.min(this.totalCost, own * Math.max(1, this.active.size));
  }

  push(entry: T): void {
    const queue = this.getTenant(entry.tenant);
    queue.entries.push({entry, cost: entry.cost, order: this.nextOrder++});
    queue.cost += entry.cost;
    this.totalCost += entry.cost;
    queue.count++;
    this.total++;
    if (queue.isActive) return;
    // A tenant that was away doesn't get the time it was away for.
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

  /** Takes an entry out for good, wherever it stands; it must be queued. */
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

  /** The tenant whose turn it is, with a live entry at its head. */
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

/**
 * Orders the requests that wait for one service: by priority, then by fair queueing over
 * the client accounts, and within an account retries first, then by deadline. At a fixed
 * interval the priority level that was served least recently goes first, so that urgent
 * requests starve no level.
 */

import type {TenantId} from '@radishyoke/shared/ids';
import {FairQueue} from '../scheduling/fair_queue.js';
import type {AdmissionRequest} from './admission_request.js';

/** A request in the queue, as `FairQueue` orders it. */
interface QueuedRequest<T extends AdmissionRequest> {
  readonly request: T;
  /** Level of urgency; 0 is the most urgent. */
  readonly level: number;
  readonly tenant: TenantId;
  /** Equal for all, since each level has a queue of its own. */
  readonly priority: 0;
  readonly deadlineAtMs: number;
  readonly cost: number;
  readonly isStarted: boolean;
}

/** One in this many requests is taken from the level that was served least recently. */
const LEAST_SERVED_INTERVAL = 10;

/** Queue of one service with a fair queue for each priority level. */
export class WaitingQueue<T extends AdmissionRequest> {
  private readonly levels = new Map<number, FairQueue<QueuedRequest<T>>>();
  private readonly entries = new Map<T, QueuedRequest<T>>();
  /** Value of `takenCount` when each level was last served. */
  private readonly servedAt = new Map<number, number>();
  private takenCount = 0;

  get size(): number {
    return this.entries.size;
  }

  push(request: T): void {
    const level = request.priority;
    const entry: QueuedRequest<T> = {
      request,
      level,
      tenant: request.account,
      priority: 0,
      deadlineAtMs: request.deadlineAtMs,
      cost: 1,
      isStarted: request.isReturning,
    };
    this.entries.set(request, entry);
    this.openLevel(level).push(entry);
  }

  /** Removes a request; returns whether it was queued. */
  remove(request: T): boolean {
    const entry = this.entries.get(request);
    if (!entry) return false;
    this.entries.delete(request);
    const level = this.openLevel(entry.level);
    level.remove(entry);
    // `peek` discards removed entries; an empty level may not be peeked for long.
    if (level.size === 0) level.peek();
    return true;
  }

  /** Returns the request that goes next, without removing it. */
  peek(): T | undefined {
    return this.findNextLevel()?.[1].peek()?.request;
  }

  /** Removes the request that `peek` returns and counts it as served. */
  take(): T | undefined {
    const next = this.findNextLevel();
    const entry = next?.[1].pop();
    if (!entry) return undefined;
    this.entries.delete(entry.request);
    this.takenCount += 1;
    this.servedAt.set(entry.level, this.takenCount);
    return entry.request;
  }

  /** Returns how many other requests go before `request`, which is queued or would be. */
  countAhead({account, priority}: AdmissionRequest): number {
    const counts = new Map<TenantId, number>();
    let urgent = 0;
    for (const {level, tenant} of this.entries.values()) {
      if (level < priority) urgent += 1;
      if (level !== priority) continue;
      counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
    }
    return urgent + this.countAheadInLevel(priority, account, counts);
  }

  /** Counts the requests that start earlier in the virtual time of the level's fair queue. */
  private countAheadInLevel(
    level: number,
    account: TenantId,
    counts: ReadonlyMap<TenantId, number>,
  ): number {
    const queue = this.openLevel(level);
    const own = counts.get(account) ?? 0;
    const start = queue.measureNextStart(account) + own;
    let ahead = own;
    for (const [other, count] of counts) {
      if (other === account) continue;
      const earlier = Math.ceil(start - queue.measureNextStart(other));
      ahead += Math.min(Math.max(earlier, 0), count);
    }
    return ahead;
  }

  /**
   * Returns the request that is dropped first if there is no place for all: of the
   * least urgent level, of the account with most requests, the one that goes last.
   */
  findDropCandidate(): T | undefined {
    let last: QueuedRequest<T> | undefined;
    for (const entry of this.entries.values()) {
      if (!last || this.isDroppedBefore(entry, last)) last = entry;
    }
    return last?.request;
  }

  /** Moves queued requests whose priority has changed. */
  reorder(): void {
    for (const {request, level} of [...this.entries.values()]) {
      if (request.priority === level) continue;
      this.remove(request);
      this.push(request);
    }
  }

  /** Whether the next request is taken from the level that was served least recently. */
  get isLeastServedTurn(): boolean {
    return (this.takenCount + 1) % LEAST_SERVED_INTERVAL === 0;
  }

  /** The queued requests, in no particular order. */
  get requests(): readonly T[] {
    return [...this.entries.keys()];
  }

  private isDroppedBefore(a: QueuedRequest<T>, b: QueuedRequest<T>): boolean {
    if (a.level !== b.level) return a.level > b.level;
    const queue = this.openLevel(a.level);
    const countDifference = queue.countOf(a.tenant) - queue.countOf(b.tenant);
    if (countDifference !== 0) return countDifference > 0;
    if (a.isStarted !== b.isStarted) return b.isStarted;
    return a.deadlineAtMs > b.deadlineAtMs;
  }

  private findNextLevel(): [number, FairQueue<QueuedRequest<T>>] | undefined {
    const waiting = [...this.levels].filter(([, queue]) => queue.size > 0);
    const rank = this.isLeastServedTurn
      ? (level: number) => this.servedAt.get(level) ?? 0
      : (level: number) => level;
    return waiting.sort(([a], [b]) => rank(a) - rank(b))[0];
  }

  private openLevel(level: number): FairQueue<QueuedRequest<T>> {
    let queue = this.levels.get(level);
    if (!queue) {
      queue = new FairQueue();
      this.levels.set(level, queue);
    }
    return queue;
  }
}

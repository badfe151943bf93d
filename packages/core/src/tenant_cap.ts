/** Holds back the works of tenants whose rule bounds how many may run at once. */

import type {TenantId} from '@radishyoke/shared/ids';
import type {WorkState} from './work_state.js';

export class TenantCap {
  private readonly running = new Map<TenantId, number>();
  private readonly held = new Map<TenantId, WorkState[]>();

  isFull(work: WorkState): boolean {
    const {maxInFlight, tenant} = work.item;
    if (maxInFlight === undefined) return false;
    return (this.running.get(tenant) ?? 0) >= maxInFlight;
  }

  noteStart(tenant: TenantId): void {
    this.running.set(tenant, (this.running.get(tenant) ?? 0) + 1);
  }

  /** Notes an end and returns the held work that may now be queued, if any. */
  noteEnd(tenant: TenantId): WorkState | undefined {
    const left = (this.running.get(tenant) ?? 1) - 1;
    if (left > 0) this.running.set(tenant, left);
    else this.running.delete(tenant);
    const works = this.held.get(tenant);
    const next = works?.shift();
    if (works?.length === 0) this.held.delete(tenant);
    return next;
  }

  hold(work: WorkState): void {
    const works = this.held.get(work.tenant);
    if (works) works.push(work);
    else this.held.set(work.tenant, [work]);
  }

  remove(work: WorkState): void {
    const works = this.held.get(work.tenant)?.filter(other => other !== work);
    if (!works || works.length === 0) this.held.delete(work.tenant);
    else this.held.set(work.tenant, works);
  }
}

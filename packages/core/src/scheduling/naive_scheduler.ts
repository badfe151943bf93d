/**
 * Implements a minimal scheduler as a baseline for comparisons: it uses the live
 * endpoints of a group round robin, has no queue, and restarts failed requests from
 * the beginning.
 */

import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {createError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import {
  EndpointStatus,
  Scheduler,
  SchedulerAction,
  SchedulerEvent,
  WorkItem,
} from './scheduler.js';

interface NaiveWork {
  readonly item: WorkItem;
  attempt: number;
  endpoint?: EndpointId;
}

export class NaiveScheduler extends Scheduler {
  private endpoints: readonly EndpointInfo[] = [];
  private readonly workItems = new Map<string, NaiveWork>();
  private nextIndex = 0;

  handle(event: SchedulerEvent): readonly SchedulerAction[] {
    switch (event.kind) {
      case 'endpoints':
        this.endpoints = event.endpoints;
        return [];
      case 'enqueue':
        this.workItems.set(event.work.id, {item: event.work, attempt: 0});
        return this.start(event.work.id);
      case 'adopt':
        this.workItems.set(event.work.id, {
          item: event.work,
          attempt: event.attempt,
          endpoint: event.endpoint,
        });
        return [];
      case 'ended':
        return this.end(event.workId, event.attempt, event.outcome.kind);
      case 'cancel':
        return this.cancel(event.workId);
      default:
        return [];
    }
  }

  countWorkItems(): number {
    return this.workItems.size;
  }

  listEndpoints(): readonly EndpointStatus[] {
    return this.endpoints.map(endpoint => ({
      id: endpoint.id,
      group: endpoint.group,
      inFlight: this.countInFlight(endpoint.id),
      limit: Number.MAX_SAFE_INTEGER,
      usable: endpoint.state === 'live',
      weightVersion: 0,
    }));
  }

  private countInFlight(id: EndpointId): number {
    let count = 0;
    for (const work of this.workItems.values())
      if (work.endpoint === id) count++;
    return count;
  }

  private start(workId: string): readonly SchedulerAction[] {
    const work = this.workItems.get(workId)!;
    const candidates = this.endpoints.filter(
      e => e.group === work.item.group && e.state === 'live',
    );
    if (candidates.length === 0 || work.attempt >= work.item.maxAttempts) {
      this.workItems.delete(workId);
      const kind = candidates.length === 0 ? 'no_endpoint' : 'endpoint_failed';
      return [{kind: 'give_up', workId, error: createError(kind)}];
    }
    const endpoint = candidates[this.nextIndex++ % candidates.length].id;
    work.attempt++;
    work.endpoint = endpoint;
    return [
      {
        kind: 'start',
        workId,
        attempt: work.attempt,
        endpoint,
        resumeTokens: 0,
        resumeAttempt: 0,
      },
    ];
  }

  private end(
    workId: string,
    attempt: number,
    outcome: 'finished' | 'failed' | 'stopped',
  ): readonly SchedulerAction[] {
    const work = this.workItems.get(workId);
    if (!work || work.attempt !== attempt) return [];
    if (outcome === 'failed' && work.item.idempotent) return this.start(workId);
    this.workItems.delete(workId);
    if (outcome === 'finished') return [{kind: 'done', workId, attempt}];
    const kind = outcome === 'failed' ? 'outcome_unknown' : 'cancelled';
    return [{kind: 'give_up', workId, error: createError(kind)}];
  }

  private cancel(workId: string): readonly SchedulerAction[] {
    const work = this.workItems.get(workId);
    this.workItems.delete(workId);
    if (!work?.endpoint) return [];
    const {attempt, endpoint} = work;
    return [{kind: 'stop', workId, attempt, endpoint}];
  }
}

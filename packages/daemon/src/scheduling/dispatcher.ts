/**
 * The task that owns the scheduler. Other tasks submit work items and post
 * events; the dispatcher executes the resulting actions by calling the work
 * item's runner.
 */

import type {
  Scheduler,
  SchedulerAction,
  SchedulerEvent,
  WorkClass,
  WorkItem,
} from '@radishyoke/core/scheduling/scheduler';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId, TenantId} from '@radishyoke/shared/ids';
import {createMailbox} from '../mailbox.js';

/** The scheduler's action that starts an attempt on an endpoint. */
export type StartAction = Extract<SchedulerAction, {readonly kind: 'start'}>;

/** Runs the attempts of one work item. Its methods must not throw. */
export abstract class WorkRunner {
  abstract start(action: StartAction, endpoint: EndpointInfo): void;
  abstract stop(attempt: number): void;
  /** Ends the work item with the output of `attempt` as its result. */
  abstract done(attempt: number): void;
  abstract giveUp(err: RadishyokeError): void;
}

/** An endpoint crash that the scheduler detected, for the other VMs. */
export type CrashNotice = Extract<
  SchedulerAction,
  {readonly kind: 'report_crash'}
>;

/** The start of one attempt. */
export interface AttemptStart {
  readonly item: WorkItem;
  readonly attempt: number;
  /** Time since the work item was submitted. */
  readonly waitedMs: number;
}

/** The first output of one work item. */
export interface FirstOutput {
  readonly item: WorkItem;
  /** Time since the work item was submitted. */
  readonly elapsedMs: number;
}

/** The number of work items of one tenant and class. */
export interface WorkCount {
  readonly tenant: TenantId;
  readonly workClass: WorkClass;
  readonly waiting: number;
  readonly running: number;
}

interface SubmittedWork {
  readonly item: WorkItem;
  readonly submittedAtMs: number;
  attempts: number;
  hasOutput: boolean;
}

/** Number of an adopted attempt within its work item. */
const adoptedAttempt = 1;

/** Time between the ticks on which the scheduler checks its timeouts, ms. */
const tickIntervalMs = 100;

export class Dispatcher {
  private readonly events = createMailbox<SchedulerEvent>();
  private readonly startMailbox = createMailbox<AttemptStart>();
  private readonly firstOutputMailbox = createMailbox<FirstOutput>();
  private readonly submitted = new Map<string, SubmittedWork>();
  private readonly noticeMailbox = createMailbox<CrashNotice>();
  private readonly runners = new Map<string, WorkRunner>();
  private readonly endpoints = new Map<EndpointId, EndpointInfo>();
  private readonly inFlight = new Map<EndpointId, number>();
  private readonly attemptEndpoints = new Map<string, EndpointId>();
  private readonly ticker: NodeJS.Timeout;

  /** Endpoint crashes to send to the other VMs. */
  readonly notices = this.noticeMailbox.messages;

  /** One message for each attempt that starts. */
  readonly starts = this.startMailbox.messages;

  /** One message for each work item whose first byte or token arrives. */
  readonly firstOutputs = this.firstOutputMailbox.messages;

  constructor(readonly scheduler: Scheduler) {
    void this.events.messages.observe(event => this.handle(event));
    this.ticker = setInterval(() => this.post({kind: 'tick'}), tickIntervalMs);
  }

  /** Queues `work`; `runner` runs its attempts and receives its outcome. */
  submit(work: WorkItem, runner: WorkRunner): void {
    this.runners.set(work.id, runner);
    this.recordSubmission(work, 0);
    this.post({kind: 'enqueue', work});
  }

  /** Adds a work item whose first attempt already runs on `endpoint`. */
  adopt(work: WorkItem, runner: WorkRunner, endpoint: EndpointId): void {
    this.runners.set(work.id, runner);
    this.recordSubmission(work, adoptedAttempt);
    this.countStart(work.id, adoptedAttempt, endpoint);
    this.post({kind: 'adopt', work, attempt: adoptedAttempt, endpoint});
  }

  post(event: SchedulerEvent): void {
    this.events.post(event);
  }

  /** Cancels the work item, stops its attempts and drops its runner. */
  cancel(workId: string): void {
    this.post({kind: 'cancel', workId});
    this.dropRunner(workId);
  }

  /** Drops the work item without calling its runner or stopping attempts. */
  forget(workId: string): void {
    this.dropRunner(workId);
    this.post({kind: 'cancel', workId});
  }

  findEndpoint(id: EndpointId): EndpointInfo | undefined {
    return this.endpoints.get(id);
  }

  /** Returns the number of this VM's running attempts by endpoint. */
  countInFlight(): ReadonlyMap<EndpointId, number> {
    return this.inFlight;
  }

  /** Records that output of the work item arrived; only the first counts. */
  recordOutput(workId: string): void {
    const work = this.submitted.get(workId);
    if (!work || work.hasOutput) return;
    work.hasOutput = true;
    const elapsedMs = Date.now() - work.submittedAtMs;
    this.firstOutputMailbox.post({item: work.item, elapsedMs});
  }

  /** Counts the work items by tenant and class. */
  listWorkCounts(): readonly WorkCount[] {
    const counts = new Map<string, WorkCount>();
    for (const [id, {item, attempts}] of this.submitted) {
      if (!this.runners.has(id)) continue;
      const {tenant, workClass} = item;
      const key = `${workClass}/${tenant}`;
      const {waiting, running} = counts.get(key) ?? {waiting: 0, running: 0};
      const startedCount = attempts > 0 ? 1 : 0;
      counts.set(key, {
        tenant,
        workClass,
        waiting: waiting + 1 - startedCount,
        running: running + startedCount,
      });
    }
    return [...counts.values()];
  }

  close(): void {
    clearInterval(this.ticker);
  }

  private handle(event: SchedulerEvent): void {
    if (event.kind === 'endpoints') this.updateEndpoints(event.endpoints);
    if (event.kind === 'progress') this.recordOutput(event.workId);
    if (event.kind === 'ended') this.release(event.workId, event.attempt);
    for (const action of this.scheduler.handle(event, Date.now())) {
      this.execute(action);
    }
  }

  private recordSubmission(item: WorkItem, attempts: number): void {
    this.submitted.set(item.id, {
      item,
      attempts,
      submittedAtMs: Date.now(),
      // Adopted work may have had its first output under an earlier owner.
      hasOutput: attempts > 0,
    });
  }

  /** Drops the work item and its runner, which gets no further calls. */
  private dropRunner(workId: string): void {
    this.runners.delete(workId);
    this.submitted.delete(workId);
  }

  private publishStart({workId, attempt}: StartAction): void {
    const work = this.submitted.get(workId);
    if (!work) return;
    work.attempts++;
    const waitedMs = Date.now() - work.submittedAtMs;
    this.startMailbox.post({item: work.item, attempt, waitedMs});
  }

  private updateEndpoints(endpoints: readonly EndpointInfo[]): void {
    this.endpoints.clear();
    for (const endpoint of endpoints) this.endpoints.set(endpoint.id, endpoint);
  }

  private execute(action: SchedulerAction): void {
    if (action.kind === 'report_crash') {
      this.noticeMailbox.post(action);
      return;
    }
    const runner = this.runners.get(action.workId);
    switch (action.kind) {
      case 'start':
        this.start(action, runner);
        return;
      case 'stop':
        this.release(action.workId, action.attempt);
        runner?.stop(action.attempt);
        return;
      case 'done':
        this.dropRunner(action.workId);
        runner?.done(action.attempt);
        return;
      case 'give_up':
        this.dropRunner(action.workId);
        runner?.giveUp(action.error);
        return;
    }
  }

  private start(action: StartAction, runner: WorkRunner | undefined): void {
    const endpoint = this.endpoints.get(action.endpoint);
    if (!runner || !endpoint) {
      this.post({kind: 'cancel', workId: action.workId});
      runner?.giveUp(createError('no_endpoint'));
      return;
    }
    this.countStart(action.workId, action.attempt, action.endpoint);
    this.publishStart(action);
    runner.start(action, endpoint);
  }

  private countStart(
    workId: string,
    attempt: number,
    endpoint: EndpointId,
  ): void {
    this.attemptEndpoints.set(`${workId}#${attempt}`, endpoint);
    this.inFlight.set(endpoint, (this.inFlight.get(endpoint) ?? 0) + 1);
  }

  private release(workId: string, attempt: number): void {
    const key = `${workId}#${attempt}`;
    const endpoint = this.attemptEndpoints.get(key);
    if (endpoint === undefined) return;
    this.attemptEndpoints.delete(key);
    const remaining = (this.inFlight.get(endpoint) ?? 1) - 1;
    if (remaining > 0) this.inFlight.set(endpoint, remaining);
    else this.inFlight.delete(endpoint);
  }
}

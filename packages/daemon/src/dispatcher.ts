/**
 * The task that owns the scheduler. Others submit work and post events; it
 * carries out what the scheduler answers by calling the work's runner.
 */

import type {
  Scheduler,
  SchedulerAction,
  SchedulerEvent,
  WorkItem,
} from '@radishyoke/core/scheduler';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {createError, RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId} from '@radishyoke/shared/ids';
import {createMailbox} from './mailbox.js';

/** Where and how an attempt is to be made. */
export type StartAction = Extract<SchedulerAction, {readonly kind: 'start'}>;

/** Does the work on an endpoint, as told. Its methods must not throw. */
export abstract class WorkRunner {
  abstract start(action: StartAction, endpoint: EndpointInfo): void;
  abstract stop(attempt: number): void;
  /** The output of `attempt` is the result. */
  abstract done(attempt: number): void;
  abstract giveUp(err: RadishyokeError): void;
}

/** What the dispatcher tells other tasks. */
export type DispatcherNotice = Extract<
  SchedulerAction,
  {readonly kind: 'report_crash'}
>;

/** Number of an adopted attempt within its work. */
const adoptedAttempt = 1;

/** How often the scheduler is asked whether a timeout is due, ms. */
const tickMs = 100;

export class Dispatcher {
  private readonly events = createMailbox<SchedulerEvent>();
  private readonly noticeBox = createMailbox<DispatcherNotice>();
  private readonly runners = new Map<string, WorkRunner>();
  private readonly endpoints = new Map<EndpointId, EndpointInfo>();
  private readonly inFlight = new Map<EndpointId, number>();
  private readonly attemptEndpoints = new Map<string, EndpointId>();
  private readonly ticker: NodeJS.Timeout;

  /** Crashes to be told to the other VMs. */
  readonly notices = this.noticeBox.messages;

  constructor(readonly scheduler: Scheduler) {
    void this.events.messages.observe(event => this.handle(event));
    this.ticker = setInterval(() => this.post({kind: 'tick'}), tickMs);
  }

  /** Queues `work`; `runner` hears what becomes of it. */
  submit(work: WorkItem, runner: WorkRunner): void {
    this.runners.set(work.id, runner);
    this.post({kind: 'enqueue', work});
  }

  /** Takes work over whose first attempt already runs on `endpoint`. */
  adopt(work: WorkItem, runner: WorkRunner, endpoint: EndpointId): void {
    this.runners.set(work.id, runner);
    this.countStart(work.id, adoptedAttempt, endpoint);
    this.post({kind: 'adopt', work, attempt: adoptedAttempt, endpoint});
  }

  post(event: SchedulerEvent): void {
    this.events.post(event);
  }

  /** Ends the work; its runner is stopped where it runs and hears no more. */
  cancel(workId: string): void {
    this.post({kind: 'cancel', workId});
    this.runners.delete(workId);
  }

  /** Drops the work without a word to its runner or its endpoint. */
  forget(workId: string): void {
    this.runners.delete(workId);
    this.post({kind: 'cancel', workId});
  }

  findEndpoint(id: EndpointId): EndpointInfo | undefined {
    return this.endpoints.get(id);
  }

  /** Attempts this VM has running, by endpoint. */
  countInFlight(): ReadonlyMap<EndpointId, number> {
    return this.inFlight;
  }

  close(): void {
    clearInterval(this.ticker);
  }

  private handle(event: SchedulerEvent): void {
    if (event.kind === 'endpoints') this.noteEndpoints(event.endpoints);
    if (event.kind === 'ended') this.release(event.workId, event.attempt);
    for (const action of this.scheduler.handle(event, Date.now())) {
      this.carryOut(action);
    }
  }

  private noteEndpoints(endpoints: readonly EndpointInfo[]): void {
    this.endpoints.clear();
    for (const endpoint of endpoints) this.endpoints.set(endpoint.id, endpoint);
  }

  private carryOut(action: SchedulerAction): void {
    if (action.kind === 'report_crash') {
      this.noticeBox.post(action);
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
        this.runners.delete(action.workId);
        runner?.done(action.attempt);
        return;
      case 'give_up':
        this.runners.delete(action.workId);
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
    const left = (this.inFlight.get(endpoint) ?? 1) - 1;
    if (left > 0) this.inFlight.set(endpoint, left);
    else this.inFlight.delete(endpoint);
  }
}

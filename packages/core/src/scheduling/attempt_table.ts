/** Tracks running attempts: starts them, records their progress and closes them. */

import type {EndpointState} from './endpoint_state.js';
import type {SchedulerState} from './scheduler_state.js';
import type {WorkQueues} from './work_queues.js';
import type {Attempt, WorkState} from './work_state.js';

/** The group's speed model excludes endpoints with at least this slowness. */
const MAX_ORDINARY_SLOWNESS = 1.5;
/** Minimum time for which nothing else is sent to a suspect's endpoint, ms. */
const ISOLATION_MS = 3000;

const NO_ATTEMPTS: ReadonlySet<Attempt> = new Set();

export class AttemptTable {
  private readonly byEndpoint = new Map<EndpointState, Set<Attempt>>();

  constructor(
    private readonly state: SchedulerState,
    private readonly queues: WorkQueues,
  ) {}

  /** Returns this VM's attempts in flight on an endpoint. */
  listAt(endpoint: EndpointState): ReadonlySet<Attempt> {
    return this.byEndpoint.get(endpoint) ?? NO_ATTEMPTS;
  }

  find(workId: string, number: number): Attempt | undefined {
    const running = this.state.workItems.get(workId)?.running;
    return running?.find(attempt => attempt.number === number);
  }

  /** Starts the next attempt, resuming from partial output if there is any. */
  start(work: WorkState, endpoint: EndpointState): void {
    const {options, retries, stragglers} = this.state;
    const number = ++work.attempts;
    const partial = options.resuming ? work.partial : undefined;
    const resumedTokens = partial?.tokens ?? 0;
    const attempt = this.open(work, endpoint, number, resumedTokens);
    attempt.oldestVersion = partial?.oldestVersion ?? Infinity;
    retries.recordStart(work.tenant, endpoint.id);
    if (number === 1) stragglers.recordStart(work.tenant);
    this.state.emit({
      kind: 'start',
      workId: work.item.id,
      attempt: number,
      endpoint: endpoint.id,
      resumeTokens: resumedTokens,
      resumeAttempt: partial?.attempt ?? 0,
    });
  }

  /** Registers an attempt as running. */
  open(
    work: WorkState,
    endpoint: EndpointState,
    number: number,
    resumedTokens = 0,
  ): Attempt {
    const {nowMs, directory} = this.state;
    const {item} = work;
    const attempt: Attempt = {
      work,
      number,
      endpoint,
      startedAtMs: nowMs,
      resumedTokens,
      tokens: resumedTokens,
      progressAtMs: nowMs,
      oldestVersion: Infinity,
      isCrashCounted: false,
      isPromptPending: true,
    };
    work.phase = 'running';
    work.running.push(attempt);
    work.lastEndpoint = undefined;
    this.queues.recordStart(work);
    this.getAttemptsAt(endpoint).add(attempt);
    endpoint.running[item.workClass]++;
    endpoint.pendingPromptTokens += item.promptTokens;
    if (item.prefixKey !== '') directory.recordPrefix(endpoint, item.prefixKey);
    directory.refresh(endpoint, nowMs);
    return attempt;
  }

  recordProgress(
    attempt: Attempt,
    tokens: number,
    weightVersion: number,
  ): void {
    const {endpoint} = attempt;
    this.clearPendingPrompt(attempt);
    const isFirst = attempt.tokens === attempt.resumedTokens;
    if (!isFirst && tokens > attempt.tokens) {
      this.recordSpeed(attempt, tokens - attempt.tokens);
    }
    this.endIsolationIfDue(attempt);
    attempt.tokens = Math.max(attempt.tokens, tokens);
    attempt.progressAtMs = this.state.nowMs;
    if (weightVersion > 0) {
      attempt.oldestVersion = Math.min(attempt.oldestVersion, weightVersion);
      endpoint.recordWeightVersion(weightVersion, this.state.nowMs);
    }
    const wasSuspected = endpoint.health.isSuspected;
    endpoint.health.recordAlive();
    if (wasSuspected) this.state.onEndpointChanged(endpoint);
  }

  /** Removes a running attempt and frees its capacity. */
  close(attempt: Attempt): void {
    const {work, endpoint} = attempt;
    work.running = work.running.filter(other => other !== attempt);
    this.clearPendingPrompt(attempt);
    this.removeFromEndpoint(attempt);
    this.queues.recordEnd(work);
    const group = this.state.groupOf(work);
    if (group.runningSuspects.delete(work)) {
      endpoint.suspect = undefined;
      endpoint.isIsolated = false;
    }
    this.state.onEndpointChanged(endpoint);
    this.state.markDirty(group);
  }

  /** Closes the attempt and cancels it at its endpoint. */
  stop(attempt: Attempt): void {
    this.close(attempt);
    this.state.emit({
      kind: 'stop',
      workId: attempt.work.item.id,
      attempt: attempt.number,
      endpoint: attempt.endpoint.id,
    });
  }

  stopAll(work: WorkState): void {
    for (const attempt of [...work.running]) this.stop(attempt);
  }

  private recordSpeed(attempt: Attempt, tokens: number): void {
    const {endpoint, work} = attempt;
    const elapsedMs = this.state.nowMs - attempt.progressAtMs;
    if (elapsedMs <= 0) return;
    endpoint.recordSpeed(tokens, elapsedMs);
    const {speed} = this.state.groupOf(work);
    const tokenMs = elapsedMs / tokens;
    const streams = endpoint.totalInFlight;
    endpoint.recordSlowness(tokenMs / speed.predictMs(streams), elapsedMs);
    // Unusually slow endpoints would distort the model of the others.
    if (endpoint.slowness < MAX_ORDINARY_SLOWNESS)
      speed.record(streams, tokenMs);
  }

  /** Ends the isolation once the suspect produces output after `ISOLATION_MS`. */
  private endIsolationIfDue(attempt: Attempt): void {
    const {endpoint, work} = attempt;
    if (!endpoint.isIsolated) return;
    if (endpoint.suspect?.workId !== work.item.id) return;
    if (this.state.nowMs - attempt.startedAtMs < ISOLATION_MS) return;
    endpoint.isIsolated = false;
    this.state.onEndpointChanged(endpoint);
  }

  private clearPendingPrompt(attempt: Attempt): void {
    if (!attempt.isPromptPending) return;
    attempt.isPromptPending = false;
    attempt.endpoint.pendingPromptTokens -= attempt.work.item.promptTokens;
  }

  private getAttemptsAt(endpoint: EndpointState): Set<Attempt> {
    let attempts = this.byEndpoint.get(endpoint);
    if (!attempts) {
      attempts = new Set();
      this.byEndpoint.set(endpoint, attempts);
    }
    return attempts;
  }

  private removeFromEndpoint(attempt: Attempt): void {
    const {endpoint, work} = attempt;
    const attempts = this.byEndpoint.get(endpoint);
    if (!attempts?.delete(attempt)) return;
    endpoint.running[work.item.workClass]--;
    if (attempts.size === 0) this.byEndpoint.delete(endpoint);
  }
}

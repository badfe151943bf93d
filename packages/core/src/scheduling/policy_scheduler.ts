/**
 * Decides where and when work runs: fair queues before endpoints, adaptive
 * limits, candidates compared by expected time, retries by a closed table,
 * stragglers moved, and the staleness bound held from queue to handover.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import {
  createError,
  ErrorKind,
  RadishyokeError,
} from '@radishyoke/shared/error_kind';
import {DEFAULT_RETRY_AFTER_MS, findRefusal} from './admission.js';
import {EndpointDirectory, EndpointGroup} from './endpoint_directory.js';
import {CrashTracker} from './crash_tracker.js';
import type {Choice} from './endpoint_pool.js';
import {estimateTokenMs, ScoreView} from './endpoint_score.js';
import {EndpointState} from './endpoint_state.js';
import type {AttemptOutcome, FailureKind} from './failure.js';
import {Freshness} from './freshness.js';
import {LengthEstimate} from './length_estimate.js';
import {DEFAULT_POLICY, PolicyOptions} from './policy_options.js';
import type {RandomBits} from './random_bits.js';
import {findRetryRule, RetryBudget, RetryRule} from './retry_policy.js';
import {
  EndpointStatus,
  Scheduler,
  SchedulerAction,
  SchedulerConfig,
  SchedulerEvent,
  WorkClass,
  WorkItem,
} from './scheduler.js';
import {judgeStraggler, StragglerPolicy} from './straggler.js';
import {SuspectList} from './suspect_list.js';
import {RunCap} from './run_cap.js';
import {StepPace} from './step_pace.js';
import {Attempt, WorkState} from './work_state.js';
import {WorkTimers} from './work_timers.js';

/** Wait before work that an endpoint rejected is sent elsewhere. */
const REJECTED_WAIT_MS = 100;
/** Parked works that may try again at one scan. */
const MAX_UNPARKED = 200;
/** Stragglers are looked for this often. */
const STRAGGLER_SCAN_MS = 250;

/** An endpoint this many times slower than others is not taken as ordinary. */
const ODD_SLOWNESS = 1.5;
/** A suspect has its endpoint to itself for this long. */
const QUARANTINE_MS = 3000;
/** Time that an engine is assumed to take to read one token again. */
const REREAD_MS_PER_TOKEN = 0.1;

export class PolicyScheduler extends Scheduler {
  private readonly directory: EndpointDirectory;
  private readonly works = new Map<string, WorkState>();
  private readonly deadlines = new WorkTimers();
  private readonly delayed = new WorkTimers();
  private readonly freshness = new Freshness();
  private readonly suspects = new SuspectList();
  private readonly crashes = new CrashTracker(this.suspects);
  private readonly retries = new RetryBudget();
  private readonly stragglers = new StragglerPolicy();
  private readonly tenantCap = new RunCap();
  private readonly stepCap = new RunCap();
  private readonly pace: StepPace;
  private readonly lengths = new LengthEstimate();
  private readonly dirty = new Set<EndpointGroup>();
  private actions: SchedulerAction[] = [];
  private nowMs = 0;
  private scannedAtMs = 0;

  /** `random` gives the bits by which candidates are drawn. */
  constructor(
    private readonly config: SchedulerConfig,
    random: RandomBits,
    private readonly options: PolicyOptions = DEFAULT_POLICY,
  ) {
    super();
    this.directory = new EndpointDirectory(config.vm, random);
    this.pace = new StepPace(this.lengths, options.pacing);
  }

  handle(event: SchedulerEvent, nowMs: number): readonly SchedulerAction[] {
    this.nowMs = nowMs;
    this.actions = [];
    this.take(event);
    for (const group of this.dirty) this.dispatch(group);
    this.dirty.clear();
    return this.actions;
  }

  countWorks(): number {
    return this.works.size;
  }

  listEndpoints(): readonly EndpointStatus[] {
    return [...this.directory.endpoints.values()].map(endpoint => ({
      id: endpoint.id,
      group: endpoint.info.group,
      inFlight: endpoint.inFlight,
      limit: endpoint.limit.limit,
      usable: endpoint.health.isUsable(this.nowMs),
      weightVersion: endpoint.weightVersion,
    }));
  }

  private take(event: SchedulerEvent): void {
    switch (event.kind) {
      case 'endpoints':
        this.directory.setEndpoints(event.endpoints, this.nowMs);
        return this.markAllDirty();
      case 'groups':
        this.directory.setNamedGroups(event.groups, this.nowMs);
        return this.markAllDirty();
      case 'vms':
        this.directory.setVms(event.vms, this.nowMs);
        return this.markAllDirty();
      case 'load':
        return this.noteChanged(
          this.directory.noteReport(event.report, this.nowMs),
        );
      case 'peer_load':
        this.directory.notePeer(event.vm, event.inFlight, this.nowMs);
        return this.markAllDirty();
      case 'cache':
        return this.directory.noteCache(
          event.endpoint,
          event.prefixKey,
          event.cached,
        );
      case 'suspects':
        return this.suspects.noteReported(event.fingerprints, this.nowMs);
      case 'min_version':
        return this.raiseMinVersion(event.stepKey, event.minWeightVersion);
      case 'enqueue':
        return this.enqueue(event.work);
      case 'adopt':
        return this.adopt(event.work, event.attempt, event.endpoint);
      case 'progress':
        return this.noteProgress(
          event.workId,
          event.attempt,
          event.tokens,
          event.weightVersion,
        );
      case 'ended':
        return this.end(event.workId, event.attempt, event.outcome);
      case 'cancel':
        return this.cancel(event.workId);
      case 'tick':
        return this.tick();
    }
  }

  // Intake

  private enqueue(item: WorkItem): void {
    if (this.works.has(item.id)) return;
    const group = this.directory.getGroup(item.group);
    const work = new WorkState(item, this.estimateLength(item, 0));
    const refusal = this.findRefusal(work, group);
    if (refusal) {
      this.actions.push({kind: 'give_up', workId: item.id, error: refusal});
      return;
    }
    this.addWork(work);
    this.queue(work);
    // The samples of a step come one by one; were the first to start at once,
    // the longest would find the endpoints taken.
    if (this.options.gathering && item.stepKey !== '') group.isGathering = true;
  }

  private findRefusal(
    work: WorkState,
    group: EndpointGroup,
  ): RadishyokeError | undefined {
    const suspicion = this.suspects.classify(work.item.fingerprint);
    if (suspicion === 'convicted') return createError('suspect_request');
    const isStepOpen = this.pace.isOpen(work.item.stepKey);
    return findRefusal(work, group, isStepOpen, this.nowMs);
  }

  private adopt(item: WorkItem, number: number, id: EndpointId): void {
    if (this.works.has(item.id)) return;
    const work = new WorkState(item, this.estimateLength(item, 0));
    this.addWork(work);
    work.attempts = number;
    // Only the count is known: the earlier attempts went out from another VM.
    work.sentAttempts = number;
    this.openAttempt(work, this.findOrInvent(id, item.group), number);
  }

  /** The endpoint, or a stand-in where the list no longer has it. */
  private findOrInvent(id: EndpointId, group: string): EndpointState {
    return (
      this.directory.endpoints.get(id) ??
      new EndpointState({
        id,
        kind: 'engine',
        address: '',
        dataCentre: this.config.dataCentre,
        group,
        state: 'leaving',
        checksFencing: false,
      })
    );
  }

  private addWork(work: WorkState): void {
    const {id, stepKey, deadlineAtMs} = work.item;
    this.works.set(id, work);
    this.deadlines.add(work, deadlineAtMs);
    if (stepKey !== '') this.pace.add(stepKey, work);
  }

  // Queue and start

  private queue(work: WorkState): void {
    const group = this.groupOf(work);
    const {item} = work;
    work.setExpected(this.estimateLength(item, work.partial?.tokens ?? 0));
    if (this.suspects.classify(item.fingerprint) !== 'none') {
      work.phase = 'quarantined';
      group.quarantined.push(work);
    } else {
      work.phase = 'queued';
      group.queues[item.workClass].push(work);
    }
    this.dirty.add(group);
  }

  private dispatch(group: EndpointGroup): void {
    this.dispatchQuarantined(group);
    this.dispatchClass(group, 'interactive');
    if (!group.isGathering) this.dispatchClass(group, 'rollout');
  }

  private dispatchClass(group: EndpointGroup, workClass: WorkClass): void {
    const {pool} = group;
    const queue = group.queues[workClass];
    if (queue.size === 0) return;
    let drained = 0;
    while (workClass === 'rollout' ? pool.hasOpen : pool.hasUsable) {
      const work = queue.peek();
      if (!work) break;
      if (this.holdBack(work)) {
        queue.pop();
        continue;
      }
      const endpoint = this.chooseEndpoint(group, work);
      if (endpoint) {
        queue.pop();
        drained += work.cost;
        this.start(work, endpoint);
        continue;
      }
      if (!this.isChoosy(work)) break;
      // The endpoints with room have older weights than this work needs, or
      // another model; others behind it may be content with them.
      queue.pop();
      work.phase = 'parked';
      group.parked.push(work);
    }
    group.drains[workClass].note(this.nowMs, drained, queue.size > 0);
  }

  /** Holds a work back if enough of its tenant or its step run. */
  private holdBack(work: WorkState): boolean {
    const {maxInFlight, stepKey} = work.item;
    const ofTenant = this.tenantCap.countRunning(work.tenant);
    if (maxInFlight !== undefined && ofTenant >= maxInFlight) {
      work.phase = 'held_by_tenant';
      this.tenantCap.hold(work.tenant, work);
      return true;
    }
    const ofStep = this.stepCap.countRunning(stepKey);
    if (stepKey === '' || ofStep < this.pace.targetOf(stepKey)) return false;
    work.phase = 'held_by_step';
    this.stepCap.hold(stepKey, work);
    return true;
  }

  /** Queues what a step may now run more of. */
  private releaseStep(stepKey: string): void {
    let room = this.pace.targetOf(stepKey) - this.stepCap.countRunning(stepKey);
    for (; room > 0; room--) {
      const work = this.stepCap.release(stepKey);
      if (!work) return;
      this.queue(work);
    }
  }

  /**
   * Runs suspects with at most one on an endpoint, which gets nothing else until
   * the suspect shows output, so that a crash there has only one suspect.
   */
  private dispatchQuarantined(group: EndpointGroup): void {
    const waiting = group.quarantined;
    group.quarantined = [];
    waiting.forEach((work, index) => {
      if (this.suspects.classify(work.item.fingerprint) === 'convicted') {
        return this.giveUp(
          work,
          createError('suspect_request', undefined, ranOf(work)),
        );
      }
      const isAnotherRunning =
        !this.options.parallelQuarantine && group.quarantineRunning.size > 0;
      const endpoint = isAnotherRunning
        ? undefined
        : this.chooseEndpoint(group, work);
      if (endpoint) this.startSuspect(group, work, endpoint);
      else group.quarantined.push(waiting[index]);
    });
  }

  private startSuspect(
    group: EndpointGroup,
    work: WorkState,
    endpoint: EndpointState,
  ): void {
    group.quarantineRunning.add(work);
    this.start(work, endpoint);
    endpoint.suspect = work;
    endpoint.quarantined = true;
    this.directory.refresh(endpoint, this.nowMs);
  }

  private chooseEndpoint(
    group: EndpointGroup,
    work: WorkState,
    avoid = work.lastEndpoint?.id,
  ): EndpointState | undefined {
    const {item} = work;
    const choice: Choice = {
      workClass: item.workClass,
      isRollout: item.workClass === 'rollout',
      minWeightVersion: this.freshness.findMin(
        item.stepKey,
        item.minWeightVersion,
      ),
      model: item.model,
      promptTokens: item.promptTokens + (work.partial?.tokens ?? 0),
      expectedTokens: work.expectedTokens - (work.partial?.tokens ?? 0),
      prefixKey: this.options.prefixAffinity ? item.prefixKey : '',
      isSuspect: work.phase === 'quarantined',
      avoid,
    };
    return group.pool.choose(choice, this.directory.view, this.getView(group));
  }

  /** Whether some endpoints may not do for the work. */
  private isChoosy(work: WorkState): boolean {
    const {stepKey, minWeightVersion, model} = work.item;
    return (
      model !== undefined ||
      this.freshness.findMin(stepKey, minWeightVersion) > 0
    );
  }

  private start(work: WorkState, endpoint: EndpointState): void {
    const number = ++work.attempts;
    const partial = this.options.resuming ? work.partial : undefined;
    const resumedTokens = partial?.tokens ?? 0;
    const attempt = this.openAttempt(work, endpoint, number, resumedTokens);
    attempt.oldestVersion = partial?.oldestVersion ?? Infinity;
    this.retries.noteStart(work.tenant, endpoint.id);
    if (number === 1) this.stragglers.noteStart(work.tenant);
    this.actions.push({
      kind: 'start',
      workId: work.item.id,
      attempt: number,
      endpoint: endpoint.id,
      resumeTokens: resumedTokens,
      resumeAttempt: partial?.attempt ?? 0,
    });
  }

  private openAttempt(
    work: WorkState,
    endpoint: EndpointState,
    number: number,
    resumedTokens = 0,
  ): Attempt {
    const {item} = work;
    const attempt: Attempt = {
      work,
      number,
      endpoint,
      startedAtMs: this.nowMs,
      resumedTokens,
      tokens: resumedTokens,
      progressAtMs: this.nowMs,
      oldestVersion: Infinity,
      isCrashCounted: false,
      isPromptPending: true,
    };
    work.phase = 'running';
    work.running.push(attempt);
    work.lastEndpoint = undefined;
    this.tenantCap.noteStart(work.tenant);
    if (item.stepKey !== '') this.stepCap.noteStart(item.stepKey);
    endpoint.attempts.add(attempt);
    endpoint.running[item.workClass]++;
    endpoint.pendingPromptTokens += item.promptTokens;
    if (item.prefixKey !== '') {
      this.directory.notePrefix(endpoint, item.prefixKey);
    }
    this.directory.refresh(endpoint, this.nowMs);
    return attempt;
  }

  // Running

  private noteProgress(
    workId: string,
    number: number,
    tokens: number,
    weightVersion: number,
  ): void {
    const attempt = this.findAttempt(workId, number);
    if (!attempt) return;
    const {endpoint} = attempt;
    this.settlePrompt(attempt);
    const isFirst = attempt.tokens === attempt.resumedTokens;
    if (!isFirst && tokens > attempt.tokens) {
      this.noteSpeed(attempt, tokens - attempt.tokens);
    }
    this.endQuarantine(attempt);
    attempt.tokens = Math.max(attempt.tokens, tokens);
    attempt.progressAtMs = this.nowMs;
    if (weightVersion > 0) {
      attempt.oldestVersion = Math.min(attempt.oldestVersion, weightVersion);
      endpoint.noteWeightVersion(weightVersion, this.nowMs);
    }
    const wasSuspected = endpoint.health.suspected;
    endpoint.health.noteAlive();
    if (wasSuspected) this.noteChanged(endpoint);
  }

  private noteSpeed(attempt: Attempt, tokens: number): void {
    const {endpoint, work} = attempt;
    const elapsedMs = this.nowMs - attempt.progressAtMs;
    if (elapsedMs <= 0) return;
    endpoint.noteSpeed(tokens, elapsedMs);
    const {speed} = this.groupOf(work);
    const tokenMs = elapsedMs / tokens;
    const streams = endpoint.totalInFlight;
    endpoint.noteSlowness(tokenMs / speed.predictMs(streams), elapsedMs);
    // Endpoints that are out of the ordinary say nothing of the others.
    if (endpoint.slowness < ODD_SLOWNESS) speed.note(streams, tokenMs);
  }

  /** A suspect that shows output doesn't crash at once: others may join it. */
  private endQuarantine(attempt: Attempt): void {
    const {endpoint, work} = attempt;
    if (endpoint.suspect !== work || !endpoint.quarantined) return;
    if (this.nowMs - attempt.startedAtMs < QUARANTINE_MS) return;
    endpoint.quarantined = false;
    this.noteChanged(endpoint);
  }

  private settlePrompt(attempt: Attempt): void {
    if (!attempt.isPromptPending) return;
    attempt.isPromptPending = false;
    attempt.endpoint.pendingPromptTokens -= attempt.work.item.promptTokens;
  }

  private closeAttempt(attempt: Attempt): void {
    const {work, endpoint} = attempt;
    work.running = work.running.filter(other => other !== attempt);
    this.settlePrompt(attempt);
    if (endpoint.attempts.delete(attempt)) {
      endpoint.running[work.item.workClass]--;
    }
    this.releaseCaps(work);
    const group = this.groupOf(work);
    if (group.quarantineRunning.delete(work)) {
      endpoint.suspect = undefined;
      endpoint.quarantined = false;
    }
    this.noteChanged(endpoint);
    this.dirty.add(group);
  }

  private releaseCaps(work: WorkState): void {
    const {tenant, stepKey} = work.item;
    this.tenantCap.noteEnd(tenant);
    const ofTenant = this.tenantCap.release(tenant);
    if (ofTenant) this.queue(ofTenant);
    if (stepKey === '') return;
    this.stepCap.noteEnd(stepKey);
    const ofStep = this.stepCap.release(stepKey);
    if (ofStep) this.queue(ofStep);
  }

  private stopAttempt(attempt: Attempt): void {
    this.closeAttempt(attempt);
    this.actions.push({
      kind: 'stop',
      workId: attempt.work.item.id,
      attempt: attempt.number,
      endpoint: attempt.endpoint.id,
    });
  }

  // Ends

  private end(workId: string, number: number, outcome: AttemptOutcome): void {
    const attempt = this.findAttempt(workId, number);
    if (!attempt) return;
    switch (outcome.kind) {
      case 'finished':
        for (const span of outcome.spans) {
          attempt.oldestVersion = Math.min(
            attempt.oldestVersion,
            span.weightVersion,
          );
        }
        return this.finish(attempt, outcome.tokens);
      case 'stopped':
        this.closeAttempt(attempt);
        if (attempt.work.running.length > 0) return;
        return this.giveUp(attempt.work, createError('cancelled'));
      case 'failed':
        return this.fail(attempt, outcome);
    }
  }

  private finish(attempt: Attempt, tokens: number): void {
    const {work, endpoint} = attempt;
    const {item} = work;
    endpoint.health.noteAlive();
    this.suspects.noteFinished(item.fingerprint);
    if (item.workClass === 'rollout' && this.isStale(attempt)) {
      return this.fail(attempt, {
        failure: 'stale',
        sent: true,
        tokensReceived: tokens,
      });
    }
    const whole = Math.max(tokens, attempt.tokens);
    this.lengths.noteFinished(item.groupKey, whole, item.maxTokens);
    this.closeAttempt(attempt);
    for (const loser of [...work.running]) this.stopAttempt(loser);
    this.removeWork(work, whole);
    this.actions.push({
      kind: 'done',
      workId: item.id,
      attempt: attempt.number,
    });
  }

  /** The bound holds against what the trainer has at this very moment. */
  private isStale(attempt: Attempt): boolean {
    const {stepKey, minWeightVersion} = attempt.work.item;
    const min = this.freshness.findMin(stepKey, minWeightVersion);
    return attempt.oldestVersion < min;
  }

  private fail(
    attempt: Attempt,
    failed: {
      readonly failure: FailureKind;
      readonly sent: boolean;
      readonly tokensReceived: number;
    },
  ): void {
    const {work, endpoint} = attempt;
    const {failure, sent} = failed;
    endpoint.health.noteFailure(failure, this.nowMs);
    const crash = this.crashes.noteFailure(attempt, failure, this.nowMs);
    if (crash) this.actions.push({kind: 'report_crash', ...crash});
    if (failure === 'rejected') endpoint.limit.noteRejected(this.nowMs);
    if (sent) work.sentAttempts++;
    attempt.tokens = Math.max(attempt.tokens, failed.tokensReceived);
    this.closeAttempt(attempt);
    this.keepPartial(attempt, failure);
    if (work.running.length > 0) return;
    const rule = findRetryRule(
      failure,
      work.item.idempotent,
      sent,
      attempt.tokens,
    );
    this.retryOrGiveUp(work, endpoint, rule, failure);
  }

  private retryOrGiveUp(
    work: WorkState,
    endpoint: EndpointState,
    rule: RetryRule,
    failure: FailureKind,
  ): void {
    const error = this.createFinalError(work, rule.error);
    const isSpent = this.countAttempts(work) >= work.item.maxAttempts;
    if (rule.action === 'give_up' || isSpent) return this.giveUp(work, error);
    if (this.suspects.classify(work.item.fingerprint) === 'convicted') {
      return this.giveUp(
        work,
        createError('suspect_request', undefined, ranOf(work)),
      );
    }
    const budgetMs = this.retries.take(work.tenant, endpoint.id, this.nowMs);
    const isInteractive = work.item.workClass === 'interactive';
    // An interactive caller is told at once rather than kept waiting for
    // retries that others have used up.
    if (budgetMs > 0 && isInteractive) return this.giveUp(work, error);
    work.lastError = error;
    work.lastEndpoint = endpoint;
    const waitMs = failure === 'rejected' ? REJECTED_WAIT_MS : 0;
    this.delay(work, Math.max(budgetMs, waitMs));
  }

  /**
   * Attempts that count against the most. An endpoint that is down turns away
   * one after the other; a rollout that never reached it has lost nothing and
   * waits on, bounded by its deadline.
   */
  private countAttempts(work: WorkState): number {
    const forgives =
      this.options.forgiveUnsent && work.item.workClass === 'rollout';
    return forgives ? work.sentAttempts : work.attempts;
  }

  private delay(work: WorkState, waitMs: number): void {
    if (waitMs <= 0) return this.queue(work);
    work.phase = 'delayed';
    work.notBeforeMs = this.nowMs + waitMs;
    this.delayed.add(work, work.notBeforeMs);
  }

  private createFinalError(work: WorkState, kind: ErrorKind): RadishyokeError {
    return createError(kind, undefined, {
      ...ranOf(work),
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    });
  }

  /** Keeps the longest output that is still of use. */
  private keepPartial(attempt: Attempt, failure: FailureKind): void {
    const {work} = attempt;
    const {tokens} = attempt;
    if (failure === 'stale' || tokens === 0 || this.isStale(attempt)) {
      if (work.partial && this.isPartialStale(work)) work.partial = undefined;
      return;
    }
    if (work.item.workClass !== 'rollout') return;
    if (work.partial && work.partial.tokens >= tokens) return;
    const {oldestVersion, number} = attempt;
    work.partial = {attempt: number, tokens, oldestVersion};
  }

  private isPartialStale(work: WorkState): boolean {
    const {stepKey, minWeightVersion} = work.item;
    const min = this.freshness.findMin(stepKey, minWeightVersion);
    return work.partial !== undefined && work.partial.oldestVersion < min;
  }

  private cancel(workId: string): void {
    const work = this.works.get(workId);
    if (!work) return;
    this.unqueue(work);
    for (const attempt of [...work.running]) this.stopAttempt(attempt);
    this.removeWork(work);
  }

  private giveUp(work: WorkState, error: RadishyokeError): void {
    this.unqueue(work);
    for (const attempt of [...work.running]) this.stopAttempt(attempt);
    this.removeWork(work);
    this.actions.push({kind: 'give_up', workId: work.item.id, error});
  }

  private unqueue(work: WorkState): void {
    const group = this.groupOf(work);
    if (work.phase === 'queued') group.queues[work.item.workClass].remove(work);
    if (work.phase === 'held_by_tenant') {
      this.tenantCap.remove(work.tenant, work);
    }
    if (work.phase === 'held_by_step') {
      this.stepCap.remove(work.item.stepKey, work);
    }
    if (work.phase === 'parked') {
      group.parked = group.parked.filter(other => other !== work);
    }
    if (work.phase === 'quarantined') {
      group.quarantined = group.quarantined.filter(other => other !== work);
    }
  }

  private removeWork(work: WorkState, finishedTokens = 0): void {
    work.phase = 'over';
    const {id, stepKey} = work.item;
    this.works.delete(id);
    if (stepKey !== '') this.pace.remove(stepKey, work, finishedTokens);
  }

  // Time and freshness

  private raiseMinVersion(stepKey: string, min: number): void {
    if (!this.freshness.raise(stepKey, min)) return;
    for (const work of this.pace.listWorks(stepKey)) {
      if (this.isPartialStale(work)) work.partial = undefined;
      for (const attempt of [...work.running]) {
        if (this.isStale(attempt)) this.restartStale(attempt);
      }
    }
  }

  /** What is already over the bound never gets back under it. */
  private restartStale(attempt: Attempt): void {
    const {work, endpoint} = attempt;
    if (attempt.oldestVersion === Infinity) return;
    this.stopAttempt(attempt);
    work.sentAttempts++;
    if (work.running.length > 0) return;
    const rule = findRetryRule('stale', work.item.idempotent, true, 0);
    this.retryOrGiveUp(work, endpoint, rule, 'stale');
  }

  private tick(): void {
    this.releaseDelayed();
    this.endGathering();
    this.expire();
    for (const endpoint of this.directory.refreshSuspected(this.nowMs)) {
      this.noteChanged(endpoint);
    }
    if (this.nowMs - this.scannedAtMs < STRAGGLER_SCAN_MS) return;
    this.scannedAtMs = this.nowMs;
    this.updatePace();
    for (const group of this.directory.groups.values()) {
      this.releaseParked(group);
      this.treatStragglers(group);
    }
  }

  private endGathering(): void {
    for (const group of this.directory.groups.values()) {
      if (!group.isGathering) continue;
      group.isGathering = false;
      this.updatePace();
      this.dirty.add(group);
    }
  }

  private updatePace(): void {
    for (const stepKey of this.pace.stepKeys) {
      const [work] = this.pace.listWorks(stepKey);
      this.pace.update(stepKey, this.groupOf(work).pool.usableCount);
      this.releaseStep(stepKey);
    }
  }

  private releaseDelayed(): void {
    for (const work of this.delayed.takeDue(this.nowMs)) {
      if (work.phase === 'delayed' && work.notBeforeMs <= this.nowMs) {
        this.queue(work);
      }
    }
  }

  /**
   * Lets parked works try again, a few at a time: a large step that waits for
   * weights would otherwise be gone through whole at every scan.
   */
  private releaseParked(group: EndpointGroup): void {
    if (group.parked.length === 0) return;
    let room = MAX_UNPARKED;
    const parked = group.parked;
    group.parked = [];
    for (const work of parked) {
      const {stepKey, minWeightVersion} = work.item;
      const min = this.freshness.findMin(stepKey, minWeightVersion);
      if (room === 0 || min > group.pool.newestVersion) group.parked.push(work);
      else {
        room--;
        this.queue(work);
      }
    }
  }

  /** An answer that comes after its deadline is worth nothing: it is given now. */
  private expire(): void {
    for (const work of this.deadlines.takeDue(this.nowMs)) {
      if (work.phase === 'over') continue;
      const kind =
        work.phase === 'parked' ? 'not_fresh_in_time' : 'deadline_passed';
      const wasSent = work.sentAttempts > 0 || work.running.length > 0;
      const extra = wasSent ? {} : ({ran: 'no'} as const);
      this.giveUp(work, createError(kind, undefined, extra));
    }
  }

  /** Once nothing waits, helps the attempts that hold up their steps. */
  private treatStragglers(group: EndpointGroup): void {
    if (group.queues.rollout.size > 0 || !group.pool.hasOpen) return;
    for (const endpoint of group.pool.endpoints.values()) {
      for (const attempt of [...endpoint.attempts]) {
        this.treatStraggler(group, attempt);
      }
    }
  }

  private treatStraggler(group: EndpointGroup, attempt: Attempt): void {
    const {work} = attempt;
    const {item} = work;
    const isAlone = work.running.length === 1;
    // One attempt is left for failures.
    const hasSpare = this.countAttempts(work) + 2 < item.maxAttempts;
    if (!isAlone || !hasSpare || !item.idempotent) return;
    if (item.workClass !== 'rollout') return;
    if (group.quarantineRunning.has(work)) return;
    const target = this.chooseEndpoint(group, work, attempt.endpoint.id);
    if (!target || target === attempt.endpoint) return;
    const {tokens} = attempt;
    const remaining = this.estimateLength(item, tokens) - tokens;
    const view = this.getView(group);
    const times = {
      hereMs: this.estimateHere(group, attempt),
      thereMs: estimateTokenMs(target, view),
      moveMs: (item.promptTokens + tokens) * REREAD_MS_PER_TOKEN,
    };
    const action = judgeStraggler(attempt, remaining, times, this.nowMs);
    if (action === 'leave') return;
    const mayHedge = this.options.hedging && item.hedge !== false;
    if (action === 'hedge' && !mayHedge) return;
    if (action === 'move' && !this.options.moving) return;
    if (!this.stragglers.takeBudget(work.tenant, this.nowMs)) return;
    this.keepPartial(attempt, 'silent');
    if (action === 'move') this.stopAttempt(attempt);
    work.sentAttempts++;
    this.start(work, target);
  }

  /** Ms for one token where the attempt runs now. */
  private estimateHere(group: EndpointGroup, attempt: Attempt): number {
    const {endpoint} = attempt;
    if (!this.options.speedModel) return 1e3 / (endpoint.streamSpeed || 50);
    const {limit} = endpoint.limit;
    const streams = Math.min(limit, endpoint.totalInFlight);
    return group.speed.predictMs(streams) * endpoint.slowness;
  }

  // Helpers

  private noteChanged(endpoint: EndpointState | undefined): void {
    if (!endpoint) return;
    endpoint.markAllowanceStale();
    this.directory.refresh(endpoint, this.nowMs);
    for (const group of this.directory.groupsOf(endpoint)) {
      this.dirty.add(group);
    }
  }

  private markAllDirty(): void {
    for (const group of this.directory.groups.values()) this.dirty.add(group);
  }

  private findAttempt(workId: string, number: number): Attempt | undefined {
    return this.works
      .get(workId)
      ?.running.find(attempt => attempt.number === number);
  }

  private groupOf(work: WorkState): EndpointGroup {
    return this.directory.getGroup(work.item.group);
  }

  private estimateLength(item: WorkItem, tokens: number): number {
    if (!this.options.longestFirst) return item.maxTokens;
    return this.lengths.estimate(item.groupKey, item.maxTokens, tokens);
  }

  private getView(group: EndpointGroup): ScoreView {
    return {
      dataCentre: this.config.dataCentre,
      newestVersion: group.pool.newestVersion,
      nowMs: this.nowMs,
      speed: this.options.speedModel ? group.speed : undefined,
    };
  }
}

/** Whether the work can have run: only ever `no` when nothing was sent. */
function ranOf(work: WorkState): Pick<RadishyokeError, 'ran'> {
  return work.sentAttempts === 0 ? {ran: 'no'} : {};
}

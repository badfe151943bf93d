/**
 * Manages the steps that this VM owns: opens steps in the log, claims their
 * leases, and takes over steps that have no owner.
 */

import type {Dispatcher as HttpDispatcher} from 'undici';
import {computeDigest} from '@radishyoke/core/ledger/digest';
import {buildStepLeaseName} from '@radishyoke/core/ledger/lease_table';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import type {
  SampleOutput,
  SampleRef,
} from '@radishyoke/core/steps/step_message';
import {createError} from '@radishyoke/shared/error_kind';
import type {StepId, TenantId, VmId} from '@radishyoke/shared/ids';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import type {StepRequest} from '@radishyoke/shared/rollout';
import type {Dispatcher} from '../scheduling/dispatcher.js';
import type {LogTask} from '../log/log_task.js';
import type {Logger} from '../logger.js';
import type {Route} from '../rule_registry.js';
import type {EndedSampleAttempt} from './sample_runner.js';
import {StepEnd, StepTask} from './step_task.js';

/**
 * Where a step runs: on this VM, on another VM, or nowhere because it is
 * closed.
 */
export type StepLocation =
  | {readonly kind: 'here'; readonly task: StepTask}
  | {readonly kind: 'elsewhere'; readonly vm: VmId}
  | {readonly kind: 'closed'; readonly ledger: StepLedger};

export interface StepDirectoryOptions {
  readonly vm: VmId;
  readonly log: LogTask;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly logger: Logger;
  readonly slowReaderTimeoutMs: number;
  readonly maxOpenSteps: number;
  /**
   * Finds the rule for a step, or a current one if its original rule is no
   * longer stored.
   */
  readonly resolveRoute: (ledger: StepLedger) => Result<Route>;
  readonly onRunEnd: (
    ledger: StepLedger,
    ref: SampleRef,
    attempts: readonly EndedSampleAttempt[],
  ) => void;
  readonly onWasted: (ledger: StepLedger, tokens: number) => void;
  readonly onSettled: (ledger: StepLedger, output: SampleOutput) => void;
  readonly onEnd: (ledger: StepLedger, end: StepEnd) => void;
}

/** Interval at which steps without an owner are looked for, ms. */
const unownedScanIntervalMs = 500;
/** Extra delay per rank before a VM claims a step without an owner, ms. */
const claimStaggerMs = 1500;

export class StepDirectory {
  private readonly tasks = new Map<string, StepTask>();
  private readonly pendingClaims = new Map<
    string,
    Promise<Result<StepLocation>>
  >();
  private readonly unownedSinceMs = new Map<string, number>();
  private readonly scanner: NodeJS.Timeout;
  private liveVms: readonly VmId[] = [];
  private isClosing = false;

  constructor(private readonly options: StepDirectoryOptions) {
    this.scanner = setInterval(() => this.scanUnowned(), unownedScanIntervalMs);
  }

  setLiveVms(vms: readonly VmId[]): void {
    this.liveVms = vms;
  }

  listTasks(): ReadonlyMap<string, StepTask> {
    return this.tasks;
  }

  /**
   * Opens a step, or locates it if it was already opened with the same body.
   */
  async open(
    tenant: TenantId,
    step: StepId,
    req: StepRequest,
    route: Route,
  ): Promise<Result<StepLocation>> {
    const {log, maxOpenSteps} = this.options;
    const digest = computeDigest(JSON.stringify(req));
    const existing = log.state.findStep(tenant, step);
    if (existing && existing.opening.digest !== digest) {
      return fail(createError('step_conflict'));
    }
    if (existing) return this.locate(tenant, step);
    if (this.tasks.size >= maxOpenSteps) {
      return fail(createError('overloaded', 'too many open steps on this VM'));
    }
    const {rule, configVersion} = route;
    const opened = await log.append({
      kind: 'step_opened',
      tenant,
      step,
      digest,
      req,
      rule,
      configVersion,
    });
    if (!opened.ok) return opened;
    const {verdict} = opened.value;
    if (verdict.kind === 'void' && verdict.reason === 'step_conflict') {
      return fail(createError('step_conflict'));
    }
    return this.locate(tenant, step);
  }

  /** Locates a step and claims it if no VM owns it. */
  async locate(tenant: TenantId, step: StepId): Promise<Result<StepLocation>> {
    const {log} = this.options;
    const ledger = log.state.findStep(tenant, step);
    if (!ledger && !log.hasReadState)
      return fail(createError('log_unavailable'));
    if (!ledger) return fail(createError('not_found', `no step ${step}`));
    if (ledger.closed) return succeed({kind: 'closed', ledger});
    const task = this.tasks.get(ledger.key);
    if (task) return succeed({kind: 'here', task});
    const owner = this.findOwner(ledger);
    if (owner) return succeed({kind: 'elsewhere', vm: owner});
    return this.claim(ledger);
  }

  /** Releases all steps so that other VMs can take them over. */
  releaseAll(): void {
    this.isClosing = true;
    clearInterval(this.scanner);
    for (const task of [...this.tasks.values()]) task.release();
  }

  /** Stops without releasing leases or closing steps, as a crash would. */
  stop(): void {
    this.isClosing = true;
    clearInterval(this.scanner);
    for (const task of this.tasks.values()) task.stop();
  }

  private findOwner(ledger: StepLedger): VmId | undefined {
    const {log, vm} = this.options;
    const lease = log.state.leases.find(buildStepLeaseName(ledger.key));
    if (!lease || lease.vm === vm) return undefined;
    const isHeld = log.state.leases.isHeld(lease, log.estimateLogNowMs());
    return isHeld ? lease.vm : undefined;
  }

  /**
   * Runs one claim per step at a time, since a concurrent one would only waste
   * an append.
   */
  private claim(ledger: StepLedger): Promise<Result<StepLocation>> {
    const pending = this.pendingClaims.get(ledger.key);
    if (pending) return pending;
    const claim = this.claimAndStart(ledger).finally(() =>
      this.pendingClaims.delete(ledger.key),
    );
    this.pendingClaims.set(ledger.key, claim);
    return claim;
  }

  private async claimAndStart(
    ledger: StepLedger,
  ): Promise<Result<StepLocation>> {
    if (this.isClosing) return fail(createError('draining'));
    const route = this.options.resolveRoute(ledger);
    if (!route.ok) return route;
    const lease = buildStepLeaseName(ledger.key);
    const claimed = await this.options.log.claim(lease);
    if (!claimed.ok) {
      const owner = this.findOwner(ledger);
      if (owner) return succeed({kind: 'elsewhere', vm: owner});
      return claimed;
    }
    const task = this.startTask(ledger, claimed.value, route.value);
    return succeed({kind: 'here', task});
  }

  private startTask(
    ledger: StepLedger,
    fencing: number,
    route: Route,
  ): StepTask {
    const {log, dispatcher, http, logger, slowReaderTimeoutMs} = this.options;
    const task = new StepTask({
      ledger,
      fencing,
      action: route.action,
      log,
      dispatcher,
      http,
      logger,
      slowReaderTimeoutMs,
      onRunEnd: (ref, attempts) => this.options.onRunEnd(ledger, ref, attempts),
      onWasted: tokens => this.options.onWasted(ledger, tokens),
      onSettled: output => this.options.onSettled(ledger, output),
      onEnd: end => this.onTaskEnd(ledger, task, end),
    });
    this.tasks.set(ledger.key, task);
    logger.log('info', 'step owned', {
      stepId: ledger.opening.step,
      tenant: ledger.opening.tenant,
      rule: route.rule,
      configVersion: route.configVersion,
      fencing,
    });
    task.begin();
    return task;
  }

  private onTaskEnd(ledger: StepLedger, task: StepTask, end: StepEnd): void {
    if (this.tasks.get(ledger.key) === task) this.tasks.delete(ledger.key);
    const lease = buildStepLeaseName(ledger.key);
    if (end === 'left') {
      void this.options.log.release({lease, fencing: task.fencing});
    }
    this.options.logger.log('info', 'step left this VM', {
      stepId: ledger.opening.step,
      tenant: ledger.opening.tenant,
      end,
    });
    this.options.onEnd(ledger, end);
  }

  /**
   * Takes over steps without an owner, even if no trainer requests them. Each
   * step ranks the VMs differently and a VM waits according to its rank, so
   * usually one VM claims the step and the others find it owned.
   */
  private scanUnowned(): void {
    if (this.isClosing) return;
    const {log} = this.options;
    const unowned = log.state.listUnownedSteps(log.estimateLogNowMs());
    const keys = new Set(unowned.map(ledger => ledger.key));
    for (const key of [...this.unownedSinceMs.keys()]) {
      if (!keys.has(key)) this.unownedSinceMs.delete(key);
    }
    for (const ledger of unowned) this.claimWhenDue(ledger);
  }

  private claimWhenDue(ledger: StepLedger): void {
    if (this.tasks.has(ledger.key)) return;
    const sinceMs = this.unownedSinceMs.get(ledger.key) ?? Date.now();
    this.unownedSinceMs.set(ledger.key, sinceMs);
    const waitMs = this.findClaimRank(ledger.key) * claimStaggerMs;
    if (Date.now() - sinceMs < waitMs) return;
    void this.claim(ledger);
  }

  /** Counts the live VMs that should claim the step before this one. */
  private findClaimRank(key: string): number {
    const {vm} = this.options;
    const rank = (id: VmId) => computeDigest(`${id} ${key}`);
    const own = rank(vm);
    return this.liveVms.filter(id => id !== vm && rank(id) < own).length;
  }
}

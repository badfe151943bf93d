/**
 * A model of VMs that read the configuration and the batches at different times.
 * The operator publishes versions, VMs accept batches by the version they have
 * read, and coordinators take over from each other. The model checks what is
 * started and given up against the operator's history.
 */

import type {OpenBatchTerms, Run} from '../batch_job.js';
import type {Batch, IndexRecord} from '../batch_record.js';
import {BatchScheduler} from '../batch_scheduler.js';
import {
  type ConfigKnowledge,
  findPromisedUntilMs,
  includesAcceptance,
  isBeforeAcceptance,
} from '../config_knowledge.js';
import type {ScheduleAction} from '../schedule_action.js';
import {
  acceptBatch,
  createBatch,
  createEngine,
  createEvent,
  createTerms,
  FixtureLog,
  listResult,
} from './batch_fixtures.js';

/** The batch route of one version. */
export interface RouteSpec {
  readonly service: string;
  readonly attempts: number;
  readonly retentionMs: number;
}

export type LagCommand =
  | {readonly kind: 'publish'; readonly route: RouteSpec | undefined}
  | {readonly kind: 'accept'; readonly vm: number; readonly isOldBuild: boolean}
  /** The VM's follower reads the configuration. */
  | {readonly kind: 'read_config'; readonly vm: number}
  /** The coordinator's follower reads the index. */
  | {readonly kind: 'read_index'}
  /** The read that the coordinator asked for succeeds. */
  | {readonly kind: 'confirm'}
  | {readonly kind: 'take_over'; readonly vm: number}
  | {readonly kind: 'end_run'; readonly isFailure: boolean}
  | {readonly kind: 'wait'; readonly ms: number};

/** How the coordinator of the model treats its own configuration. */
export interface LagOptions {
  /** Whether it takes each version that it has read for the newest one. */
  readonly trustsOwnVersion: boolean;
}

interface Version {
  readonly number: number;
  readonly atMs: number;
  readonly route: RouteSpec | undefined;
}

interface ModelVm {
  known: ConfigKnowledge;
}

interface Accepted {
  readonly batch: Batch;
  readonly version: number;
}

export const VMS = 3;
export const SERVICES: readonly string[] = ['s0', 's1'];
const ITEMS = 2;

export class ConfigLagModel {
  readonly violations: string[] = [];
  private nowMs = 1000;
  private readonly versions: Version[] = [];
  private readonly vms: ModelVm[] = [];
  private readonly batches: Batch[] = [];
  private readonly log = new FixtureLog(this.batches);
  private readonly accepted = new Map<string, Accepted>();
  /** Steady ms of the last failure of each item. */
  private readonly failedAtMs = new Map<string, number>();
  /** Batches that the coordinator has read in the index, with the time. */
  private learnt = new Map<string, number>();
  /** Number of times that a VM became the coordinator. */
  private termCount = 0;
  private scheduler = this.createScheduler();
  private coordinator = 0;
  private runs: Run[] = [];
  /** Steady ms at which the coordinator asked for a read of the configuration. */
  private askedMs: number | undefined;

  constructor(
    private readonly options: LagOptions,
    first: RouteSpec | undefined,
  ) {
    this.publish(first);
    for (let i = 0; i < VMS; i++) {
      this.vms.push({known: {version: 1, completeAtMs: this.nowMs}});
    }
  }

  apply(command: LagCommand): void {
    this.nowMs += 1;
    switch (command.kind) {
      case 'publish':
        this.publish(command.route);
        break;
      case 'accept':
        this.accept(this.vms[command.vm], command.isOldBuild);
        break;
      case 'read_config':
        this.readConfig(this.vms[command.vm]);
        break;
      case 'read_index':
        this.learnAll();
        break;
      case 'confirm':
        this.confirm();
        break;
      case 'take_over':
        this.takeOver(command.vm);
        break;
      case 'end_run':
        this.endRun(command.isFailure);
        break;
      case 'wait':
        this.nowMs += command.ms;
    }
    this.step();
  }

  /** Lets everything be read and all runs finish; returns the items that have no result. */
  settle(): readonly string[] {
    for (let i = 0; i < 20 * VMS; i++) {
      this.apply({kind: 'read_index'});
      this.apply({kind: 'confirm'});
      this.apply({kind: 'end_run', isFailure: false});
      this.apply({kind: 'wait', ms: 100});
    }
    return [...this.log.index.entries].flatMap(({items}) =>
      [...items].flatMap(([id, {position}]) =>
        position === undefined ? [id] : [],
      ),
    );
  }

  private get newest(): Version {
    return this.versions.at(-1)!;
  }

  private get knowledge(): ConfigKnowledge {
    return this.vms[this.coordinator].known;
  }

  private publish(route: RouteSpec | undefined): void {
    const number = this.versions.length + 1;
    this.versions.push({number, atMs: this.nowMs, route});
  }

  private findRoute(number: number): RouteSpec | undefined {
    return this.versions[number - 1].route;
  }

  private readConfig(vm: ModelVm): void {
    vm.known = {...vm.known, version: this.newest.number};
  }

  /** A VM that does not know the route reads the configuration before it refuses. */
  private accept(vm: ModelVm, isOldBuild: boolean): void {
    if (!this.findRoute(vm.known.version)) this.readConfig(vm);
    const {version} = vm.known;
    const route = this.findRoute(version);
    if (!route) return;
    const id = `b${this.accepted.size}`;
    const itemIds = Array.from({length: ITEMS}, (_, i) => `${id}-${i}`);
    const {retentionMs} = route;
    const batch = createBatch(id, itemIds, {
      submittedAtMs: this.nowMs,
      ...(isOldBuild
        ? {}
        : {acceptedUnder: {configVersion: version, retentionMs}}),
    });
    this.batches.push(batch);
    this.accepted.set(id, {batch, version});
    this.log.apply(acceptBatch(batch));
  }

  private learnAll(): void {
    for (const {header} of this.log.index.entries) {
      if (!this.learnt.has(header.id)) this.learnt.set(header.id, this.nowMs);
    }
  }

  private confirm(): void {
    if (this.askedMs === undefined) return;
    const vm = this.vms[this.coordinator];
    vm.known = {version: this.newest.number, completeAtMs: this.askedMs};
    this.askedMs = undefined;
  }

  private createScheduler(): BatchScheduler {
    this.termCount += 1;
    const scheduler = new BatchScheduler({
      tokensPerEvent: 1,
      runPrefix: `vm-${this.termCount}`,
    });
    const engines = SERVICES.map(service => createEngine(service, {service}));
    scheduler.setEngines(engines);
    return scheduler;
  }

  /** A successor reads the whole index before it starts. */
  private takeOver(vm: number): void {
    this.coordinator = vm;
    this.scheduler = this.createScheduler();
    this.runs = [];
    this.learnt = new Map();
    this.askedMs = undefined;
    this.learnAll();
  }

  private endRun(isFailure: boolean): void {
    const run = this.runs.shift();
    if (!run) return;
    const {id: itemId} = run.job.item;
    const batchId = run.job.batch.batch.id;
    if (isFailure) {
      this.log.apply({
        kind: 'attempt_failed',
        batchId,
        itemId,
        attempt: run.id,
      });
      this.failedAtMs.set(itemId, this.nowMs);
      this.scheduler.onRunEnd(run, 'failed', this.nowMs);
      return;
    }
    const nextId = (run.job.transcript.lastEventId ?? 0) + 1;
    this.scheduler.onEvent(run, createEvent(nextId, run.id), this.nowMs);
    this.scheduler.onRunEnd(run, 'finished', this.nowMs);
  }

  /** Opens what may be opened, applies the known version and decides. */
  private step(): void {
    const {version, completeAtMs} = this.knowledge;
    const {trustsOwnVersion} = this.options;
    for (const {batch} of this.scheduler.openBatches) {
      this.scheduler.setTerms(batch.id, this.createTerms(batch, version));
    }
    for (const [id, learntMs] of this.learnt) this.open(id, learntMs);
    const knownMs = trustsOwnVersion ? Infinity : completeAtMs;
    for (const action of this.scheduler.decide(this.nowMs, knownMs)) {
      this.perform(action);
    }
  }

  private open(id: string, learntMs: number): void {
    const {batch} = this.accepted.get(id)!;
    if (this.scheduler.hasBatch(batch)) return;
    const {version} = this.knowledge;
    const isKnown =
      this.options.trustsOwnVersion ||
      includesAcceptance(this.knowledge, batch, learntMs);
    const promisedUntilMs = findPromisedUntilMs(batch);
    if (!isKnown && this.nowMs <= promisedUntilMs) {
      this.askedMs ??= this.nowMs;
      return;
    }
    const terms = this.createTerms(batch, version);
    this.scheduler.openBatch(this.log.get(id), terms, {promisedUntilMs});
  }

  private createTerms(
    batch: Batch,
    version: number,
  ): OpenBatchTerms | undefined {
    const {trustsOwnVersion} = this.options;
    if (!trustsOwnVersion && isBeforeAcceptance(version, batch)) {
      return undefined;
    }
    const route = this.findRoute(version);
    if (!route) return undefined;
    const {service, attempts, retentionMs} = route;
    const giveUpAtMs = batch.submittedAtMs + retentionMs;
    return createTerms({service, attempts, giveUpAtMs});
  }

  private perform(action: ScheduleAction): void {
    switch (action.kind) {
      case 'confirm_config':
        this.askedMs ??= this.nowMs;
        return;
      case 'start':
        this.checkStart(action.run);
        this.runs.push(action.run);
        return;
      case 'stop':
        this.runs = this.runs.filter(run => run !== action.run);
        this.scheduler.onRunEnd(action.run, 'stopped', this.nowMs);
        return;
      case 'list':
        this.list(action);
    }
  }

  private list(action: Extract<ScheduleAction, {kind: 'list'}>): void {
    const {batchId, result, reason} = action;
    const record: IndexRecord = listResult(batchId, result);
    const change = this.log.apply(record);
    if (change?.kind !== 'listed') return;
    this.scheduler.onResultListed(batchId, change.listed);
    if (result.state === 'done') return;
    if (!this.isJustified(batchId, result.itemId, reason)) {
      this.violations.push(`${this.nowMs} ${result.itemId} errored: ${reason}`);
    }
  }

  private isJustified(id: string, itemId: string, reason: string): boolean {
    const {batch} = this.accepted.get(id)!;
    const {submittedAtMs} = batch;
    switch (reason) {
      case 'route_removed':
        return this.listInForce(submittedAtMs).some(({route}) => !route);
      case 'retention_over':
        // Without a route in force, what was promised at the acceptance counts.
        return this.listInForce(submittedAtMs).some(
          version =>
            this.hasOutlived(version, submittedAtMs) ||
            (!version.route && this.nowMs > this.findPromise(id)),
        );
      case 'attempts_used_up': {
        const failures = this.log.index.get(id)!.items.get(itemId)!.failedRuns
          .length;
        const sinceMs = this.failedAtMs.get(itemId) ?? submittedAtMs;
        return this.listInForce(sinceMs).some(
          ({route}) => route && failures >= route.attempts,
        );
      }
      default:
        return false;
    }
  }

  private findPromise(id: string): number {
    const {batch, version} = this.accepted.get(id)!;
    return batch.submittedAtMs + this.findRoute(version)!.retentionMs;
  }

  /** Whether a batch's retention by `version` ran out while it was in force. */
  private hasOutlived({number, route}: Version, submittedAtMs: number) {
    if (!route) return false;
    const overMs = submittedAtMs + route.retentionMs;
    const replacedMs = this.versions[number]?.atMs ?? Infinity;
    return this.nowMs > overMs && replacedMs > overMs;
  }

  /** The versions that were the newest at some time since `sinceMs`. */
  private listInForce(sinceMs: number): readonly Version[] {
    return this.versions.filter(
      ({number}) => (this.versions[number]?.atMs ?? Infinity) > sinceMs,
    );
  }

  private checkStart({job, engineId}: Run): void {
    const {id} = job.batch.batch;
    const {version} = this.accepted.get(id)!;
    const allowed = this.versions.slice(version - 1);
    if (allowed.some(({route}) => route?.service === engineId)) return;
    this.violations.push(`${this.nowMs} ${job.item.id} run by ${engineId}`);
  }
}

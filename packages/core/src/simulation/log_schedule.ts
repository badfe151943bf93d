/**
 * Runs a schedule of appends, lost answers, pauses, crashes and outages over
 * several VMs, one trainer, operators and an app, and returns which guarantees
 * were violated.
 */

import {isDeepStrictEqual} from 'node:util';
import type {ConfigRecord, StateRecord} from '@radishyoke/shared/log_record';
import {ConfigHistory, NO_VERSION} from '../rules/config_history.js';
import {TEAM, TENANT, STEP} from './log_fixtures.js';
import {type AppendOutcome, ScheduleLog} from './schedule_log.js';
import {
  createFold,
  type SampleDelivery,
  type MissingGuard,
  ScheduleVm,
  type ScheduleWorld,
} from './schedule_vm.js';

/** One operation of a schedule: its code, and which VM or how much it affects. */
export type ScheduleOp = readonly [code: number, arg: number];

const VM_NAMES = ['a', 'b', 'c'] as const;
const SAMPLES = 4;
const REQUESTS = 3;
const FAULT_FREE_ROUNDS = 40;
const FAULT_FREE_ROUND_MS = 1500;
const APPEND_OUTCOMES: readonly AppendOutcome[] = [
  'answered',
  'answered',
  'answered',
  'answer_lost',
  'delayed',
  'refused',
];

/** A trainer that follows the protocol of docs/design/ledger.md. */
class ScheduleTrainer {
  readonly received = new Map<number, string>();
  readonly violations: string[] = [];
  cursor = 0;
  private highestFencing = -1;

  constructor(private readonly guard: MissingGuard) {}

  /**
   * Records an owner's fencing number; returns false if a newer owner has
   * connected before.
   */
  admitOwner(fencing: number): boolean {
    if (this.guard === 'trainer_fencing') return true;
    if (fencing < this.highestFencing) return false;
    this.highestFencing = fencing;
    return true;
  }

  receive({fencing, cursor, sample, text}: SampleDelivery): void {
    if (!this.admitOwner(fencing)) return;
    if (cursor <= this.cursor && this.guard !== 'trainer_cursor') return;
    this.cursor = Math.max(this.cursor, cursor);
    if (this.received.has(sample))
      this.violations.push(`doubled sample ${sample}`);
    this.received.set(sample, text);
  }
}

/** One execution of a schedule. */
class ScheduleRun {
  private readonly world: ScheduleWorld;
  private readonly vms: ScheduleVm[];
  private readonly trainer: ScheduleTrainer;
  private readonly inFlight: SampleDelivery[] = [];
  private readonly violations: string[] = [];
  private readonly currentVersions = new Map<string, number>();
  private connectedIndex: number | undefined;
  private isOutage = false;
  private restarts = 0;

  constructor(guard: MissingGuard) {
    this.world = {
      state: new ScheduleLog<StateRecord>(),
      config: new ScheduleLog<ConfigRecord>(),
      sampleCount: SAMPLES,
      guard,
      nowMs: 1_000_000,
      runCounts: new Map(),
      reportedFailed: new Set(),
    };
    this.vms = VM_NAMES.map(name => this.createVm(name));
    this.trainer = new ScheduleTrainer(guard);
    this.vms[0]!.openStep();
  }

  apply([code, arg]: ScheduleOp): void {
    const index = arg % VM_NAMES.length;
    const vm = this.vms[index]!;
    const detail = Math.floor(arg / VM_NAMES.length);
    const isVmOp = code >= 6;
    if (isVmOp && vm.paused) return;
    switch (code) {
      case 0:
        this.world.nowMs += arg * 20;
        break;
      case 1:
        vm.paused = !vm.paused;
        break;
      case 2:
        if (detail % 4 === 0) this.restart(index);
        break;
      case 3:
        this.isOutage = detail % 3 === 0;
        break;
      case 4:
        if (!this.isOutage) this.world.state.deliverDelayed(this.world.nowMs);
        if (!this.isOutage) this.world.config.deliverDelayed(this.world.nowMs);
        break;
      case 5:
        this.dropExpired();
        break;
      case 6:
        if (!this.isOutage) this.read(index, 1 + (detail % 16));
        break;
      case 7:
        vm.flush(
          this.isOutage
            ? 'refused'
            : APPEND_OUTCOMES[detail % APPEND_OUTCOMES.length]!,
        );
        break;
      case 8:
        if (vm.ready) vm.claim();
        break;
      case 9:
        if (vm.fencing !== undefined) vm.renew();
        break;
      case 10:
        vm.generate(detail % SAMPLES);
        break;
      case 11:
        this.inFlight.push(...vm.sendSamples());
        break;
      case 12:
        this.deliver(detail);
        break;
      case 13:
        this.connect(index);
        break;
      case 14:
        if (this.connectedIndex === index) vm.acknowledge(this.trainer.cursor);
        break;
      case 15:
        if (vm.ready) vm.publish();
        break;
      case 16:
        if (vm.ready) vm.request(`r${detail % REQUESTS}`);
        break;
      case 17:
        if (vm.ready && detail % 4 === 0) vm.checkpoint();
        break;
      default:
        this.runUsualCycle(index, detail);
    }
  }

  /** Runs a VM's usual cycle; the bits of `choice` omit parts of it. */
  private runUsualCycle(index: number, choice: number): void {
    const vm = this.vms[index]!;
    const isIncluded = (part: number) => (choice >> part) % 2 === 0;
    if (this.isOutage) return;
    this.read(index, Infinity);
    if (!isIncluded(0)) this.connect(index);
    if (vm.step?.closed === undefined) vm.claim();
    if (isIncluded(1) && vm.fencing !== undefined) vm.renew();
    if (isIncluded(2)) vm.generate(choice % SAMPLES);
    if (isIncluded(3)) this.inFlight.push(...vm.sendSamples());
    if (isIncluded(4)) vm.flush('answered');
    if (isIncluded(5)) this.read(index, Infinity);
  }

  /** Ends all faults, lets the VMs finish, and returns all violations. */
  finish(): readonly string[] {
    this.isOutage = false;
    for (const vm of this.vms) vm.paused = false;
    for (let round = 0; round < FAULT_FREE_ROUNDS; round++) {
      this.runFaultFreeRound();
      if (this.vms.every(vm => vm.step?.closed !== undefined)) break;
    }
    this.settleAll();
    this.checkTrainer();
    this.checkRequests();
    this.checkConfig();
    this.checkFolds();
    return [...this.violations, ...this.trainer.violations];
  }

  private createVm(name: string): ScheduleVm {
    return new ScheduleVm(this.world, name, `i${this.restarts}`);
  }

  private restart(index: number): void {
    this.restarts++;
    this.vms[index] = this.createVm(VM_NAMES[index]!);
    if (this.connectedIndex === index) this.connectedIndex = undefined;
  }

  private read(index: number, max: number): void {
    const vm = this.vms[index]!;
    vm.read(max);
    if (!vm.ready) return;
    const name = VM_NAMES[index]!;
    const version = vm.config.current(TEAM)?.version ?? NO_VERSION;
    const before = this.currentVersions.get(name) ?? NO_VERSION;
    if (version < before)
      this.violations.push(`${name} reverted to ${version}`);
    this.currentVersions.set(name, version);
  }

  private connect(index: number): void {
    const vm = this.vms[index]!;
    const fencing = vm.connect(this.trainer.cursor);
    if (fencing !== undefined && this.trainer.admitOwner(fencing)) {
      this.connectedIndex = index;
    }
  }

  /**
   * Delivers one message. The messages of one owner arrive in order; those of
   * several owners may interleave.
   */
  private deliver(choice: number): void {
    const owners = [...new Set(this.inFlight.map(m => m.fencing))];
    const fencing = owners[choice % Math.max(1, owners.length)];
    const index = this.inFlight.findIndex(m => m.fencing === fencing);
    const [message] = index < 0 ? [] : this.inFlight.splice(index, 1);
    if (message !== undefined) this.trainer.receive(message);
  }

  /** Applies retention: drops the records that the last complete checkpoint covers. */
  private dropExpired(): void {
    const {state} = this.world;
    const parts = new Map<string, number>();
    for (const {value} of state.records.slice(state.oldest)) {
      if (value.kind !== 'checkpoint_part' || value.asOf < state.oldest)
        continue;
      const seen = (parts.get(value.digest) ?? 0) + 1;
      parts.set(value.digest, seen);
      if (seen === value.parts) state.oldest = value.asOf;
    }
  }

  private runFaultFreeRound(): void {
    this.world.nowMs += FAULT_FREE_ROUND_MS;
    while (this.world.state.hasDelayed || this.world.config.hasDelayed) {
      this.world.state.deliverDelayed(this.world.nowMs);
      this.world.config.deliverDelayed(this.world.nowMs);
    }
    this.vms.forEach((vm, index) => {
      this.read(index, Infinity);
      if (vm.step === undefined) vm.openStep();
      else if (vm.step.closed === undefined) vm.claim();
      if (vm.fencing !== undefined) vm.renew();
      this.runFaultFreeOwner(vm, index);
      vm.flush('answered');
      this.read(index, Infinity);
    });
  }

  private runFaultFreeOwner(vm: ScheduleVm, index: number): void {
    if (vm.validFencing === undefined) return;
    this.connect(index);
    for (let sample = 0; sample < SAMPLES; sample++) vm.generate(sample);
    this.inFlight.push(...vm.sendSamples());
    while (this.inFlight.length > 0) this.deliver(0);
    if (this.connectedIndex === index) vm.acknowledge(this.trainer.cursor);
  }

  private settleAll(): void {
    for (const vm of this.vms) vm.flush('answered');
    this.vms.forEach((_, index) => this.read(index, Infinity));
  }

  private checkTrainer(): void {
    const step = this.vms[0]!.step;
    for (let sample = 0; sample < SAMPLES; sample++) {
      const text = this.trainer.received.get(sample);
      const winner = step?.findCommitted(0, sample);
      if (text === undefined) this.violations.push(`lost sample ${sample}`);
      else if (text !== winner?.digest) {
        this.violations.push(`sample ${sample} is not the ledger's`);
      }
    }
  }

  private checkRequests(): void {
    for (const [req, runs] of this.world.runCounts) {
      if (runs > 1) this.violations.push(`${req} ran ${runs} times`);
    }
  }

  private checkConfig(): void {
    const history = new ConfigHistory(() => undefined);
    const accepted = new Set<string>();
    for (const record of this.world.config.records) {
      const outcome = history.apply(record);
      if (outcome.kind === 'accepted' && 'text' in record.value) {
        accepted.add(record.value.text);
      }
    }
    for (const text of this.world.reportedFailed) {
      if (accepted.has(text))
        this.violations.push(`${text} failed and is in force`);
    }
    for (const vm of this.vms) {
      const isSame =
        vm.config.current(TEAM)?.version === history.current(TEAM)?.version;
      if (!isSame) this.violations.push('VMs differ on the configuration');
    }
  }

  /**
   * Checks that every VM has the state of a reader of the full stream, and that
   * no accepted record comes from a former owner.
   */
  private checkFolds(): void {
    const fold = createFold(this.world.guard);
    let owner = -1;
    for (const record of this.world.state.records) {
      const verdict = fold.apply(record);
      if (verdict.kind !== 'accepted') continue;
      const {value} = record;
      if (value.kind === 'lease_claimed') owner = verdict.fencing ?? owner;
      if ('fencing' in value && value.fencing !== owner) {
        this.violations.push(
          `record ${record.offset} of a former owner counts`,
        );
      }
    }
    const expected = fold.toSnapshot();
    for (const vm of this.vms) {
      if (!isDeepStrictEqual(vm.fold.toSnapshot(), expected)) {
        this.violations.push('VMs differ on the state');
      }
    }
    if (fold.findStep(TENANT, STEP)?.closed === undefined) {
      this.violations.push('the step never closed');
    }
  }
}

/** Runs one schedule and returns the violated guarantees; empty if none. */
export function runSchedule(
  ops: readonly ScheduleOp[],
  guard: MissingGuard = 'none',
): readonly string[] {
  const run = new ScheduleRun(guard);
  for (const op of ops) run.apply(op);
  return run.finish();
}

/** Codes above 17 all run a VM's usual cycle, which makes it more frequent. */
export const SCHEDULE_OP_CODES = 26;
export const SCHEDULE_ARG_MAX = 255;

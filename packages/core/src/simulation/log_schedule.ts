/**
 * Runs a schedule of appends, lost answers, pauses, crashes and outages over
 * several VMs, one trainer, operators and an app, and tells which promises broke.
 */

import {isDeepStrictEqual} from 'node:util';
import type {ConfigRecord, StateRecord} from '@radishyoke/shared/log_record';
import {ConfigHistory, NO_VERSION} from '../rules/config_history.js';
import {TEAM, TENANT, STEP} from './log_fixtures.js';
import {type AppendFate, ScheduleLog} from './schedule_log.js';
import {
  createFold,
  type Handover,
  type MissingGuard,
  ScheduleVm,
  type ScheduleWorld,
} from './schedule_vm.js';

/** One step of a schedule: what happens, and to whom or how much. */
export type ScheduleOp = readonly [code: number, arg: number];

const VM_NAMES = ['a', 'b', 'c'] as const;
const SAMPLES = 4;
const REQUESTS = 3;
const CALM_ROUNDS = 40;
const CALM_ROUND_MS = 1500;
const FATES: readonly AppendFate[] = [
  'answered',
  'answered',
  'answered',
  'answer_lost',
  'delayed',
  'refused',
];

/** The trainer's side as docs/design/ledger.md asks for it. */
class ScheduleTrainer {
  readonly received = new Map<number, string>();
  readonly broken: string[] = [];
  cursor = 0;
  private highestFencing = -1;

  constructor(private readonly guard: MissingGuard) {}

  /** Takes an owner's number; false when a newer owner was seen. */
  admit(fencing: number): boolean {
    if (this.guard === 'trainer_fencing') return true;
    if (fencing < this.highestFencing) return false;
    this.highestFencing = fencing;
    return true;
  }

  take({fencing, cursor, sample, text}: Handover): void {
    if (!this.admit(fencing)) return;
    if (cursor <= this.cursor && this.guard !== 'trainer_cursor') return;
    this.cursor = Math.max(this.cursor, cursor);
    if (this.received.has(sample)) this.broken.push(`doubled sample ${sample}`);
    this.received.set(sample, text);
  }
}

/** One run. */
class ScheduleRun {
  private readonly world: ScheduleWorld;
  private readonly vms: ScheduleVm[];
  private readonly trainer: ScheduleTrainer;
  private readonly inFlight: Handover[] = [];
  private readonly broken: string[] = [];
  private readonly inForce = new Map<string, number>();
  private connected: number | undefined;
  private outage = false;
  private restarts = 0;

  constructor(guard: MissingGuard) {
    this.world = {
      state: new ScheduleLog<StateRecord>(),
      config: new ScheduleLog<ConfigRecord>(),
      samples: SAMPLES,
      guard,
      nowMs: 1_000_000,
      runs: new Map(),
      toldFailed: new Set(),
    };
    this.vms = VM_NAMES.map(name => this.createVm(name));
    this.trainer = new ScheduleTrainer(guard);
    this.vms[0]!.openStep();
  }

  apply([code, arg]: ScheduleOp): void {
    const slot = arg % VM_NAMES.length;
    const vm = this.vms[slot]!;
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
        if (detail % 4 === 0) this.restart(slot);
        break;
      case 3:
        this.outage = detail % 3 === 0;
        break;
      case 4:
        if (!this.outage) this.world.state.deliverDelayed(this.world.nowMs);
        if (!this.outage) this.world.config.deliverDelayed(this.world.nowMs);
        break;
      case 5:
        this.dropExpired();
        break;
      case 6:
        if (!this.outage) this.read(slot, 1 + (detail % 16));
        break;
      case 7:
        vm.flush(this.outage ? 'refused' : FATES[detail % FATES.length]!);
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
        this.inFlight.push(...vm.handOver());
        break;
      case 12:
        this.deliver(detail);
        break;
      case 13:
        this.connect(slot);
        break;
      case 14:
        if (this.connected === slot) vm.acknowledge(this.trainer.cursor);
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
        this.work(slot, detail);
    }
  }

  /** A VM's ordinary turn, of which `choice` leaves parts out. */
  private work(slot: number, choice: number): void {
    const vm = this.vms[slot]!;
    const takes = (part: number) => (choice >> part) % 2 === 0;
    if (this.outage) return;
    this.read(slot, Infinity);
    if (!takes(0)) this.connect(slot);
    if (vm.step?.closed === undefined) vm.claim();
    if (takes(1) && vm.fencing !== undefined) vm.renew();
    if (takes(2)) vm.generate(choice % SAMPLES);
    if (takes(3)) this.inFlight.push(...vm.handOver());
    if (takes(4)) vm.flush('answered');
    if (takes(5)) this.read(slot, Infinity);
  }

  /** Ends all faults, lets the VMs finish, and names the broken promises. */
  finish(): readonly string[] {
    this.outage = false;
    for (const vm of this.vms) vm.paused = false;
    for (let round = 0; round < CALM_ROUNDS; round++) {
      this.runCalmRound();
      if (this.vms.every(vm => vm.step?.closed !== undefined)) break;
    }
    this.settleAll();
    this.checkTrainer();
    this.checkRequests();
    this.checkConfig();
    this.checkFolds();
    return [...this.broken, ...this.trainer.broken];
  }

  private createVm(name: string): ScheduleVm {
    return new ScheduleVm(this.world, name, `i${this.restarts}`);
  }

  private restart(slot: number): void {
    this.restarts++;
    this.vms[slot] = this.createVm(VM_NAMES[slot]!);
    if (this.connected === slot) this.connected = undefined;
  }

  private read(slot: number, max: number): void {
    const vm = this.vms[slot]!;
    vm.read(max);
    if (!vm.ready) return;
    const name = VM_NAMES[slot]!;
    const version = vm.config.current(TEAM)?.version ?? NO_VERSION;
    const before = this.inForce.get(name) ?? NO_VERSION;
    if (version < before) this.broken.push(`${name} reverted to ${version}`);
    this.inForce.set(name, version);
  }

  private connect(slot: number): void {
    const vm = this.vms[slot]!;
    const fencing = vm.connect(this.trainer.cursor);
    if (fencing !== undefined && this.trainer.admit(fencing)) {
      this.connected = slot;
    }
  }

  /** Messages of one owner stay in order; those of two may cross. */
  private deliver(choice: number): void {
    const owners = [...new Set(this.inFlight.map(m => m.fencing))];
    const fencing = owners[choice % Math.max(1, owners.length)];
    const index = this.inFlight.findIndex(m => m.fencing === fencing);
    const [message] = index < 0 ? [] : this.inFlight.splice(index, 1);
    if (message !== undefined) this.trainer.take(message);
  }

  /** Retention: what the last whole checkpoint covers may go. */
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

  private runCalmRound(): void {
    this.world.nowMs += CALM_ROUND_MS;
    while (this.world.state.hasDelayed || this.world.config.hasDelayed) {
      this.world.state.deliverDelayed(this.world.nowMs);
      this.world.config.deliverDelayed(this.world.nowMs);
    }
    this.vms.forEach((vm, slot) => {
      this.read(slot, Infinity);
      if (vm.step === undefined) vm.openStep();
      else if (vm.step.closed === undefined) vm.claim();
      if (vm.fencing !== undefined) vm.renew();
      this.runCalmOwner(vm, slot);
      vm.flush('answered');
      this.read(slot, Infinity);
    });
  }

  private runCalmOwner(vm: ScheduleVm, slot: number): void {
    if (vm.validFencing === undefined) return;
    this.connect(slot);
    for (let sample = 0; sample < SAMPLES; sample++) vm.generate(sample);
    this.inFlight.push(...vm.handOver());
    while (this.inFlight.length > 0) this.deliver(0);
    if (this.connected === slot) vm.acknowledge(this.trainer.cursor);
  }

  private settleAll(): void {
    for (const vm of this.vms) vm.flush('answered');
    this.vms.forEach((_, slot) => this.read(slot, Infinity));
  }

  private checkTrainer(): void {
    const step = this.vms[0]!.step;
    for (let sample = 0; sample < SAMPLES; sample++) {
      const text = this.trainer.received.get(sample);
      const winner = step?.findCommitted(0, sample);
      if (text === undefined) this.broken.push(`lost sample ${sample}`);
      else if (text !== winner?.digest) {
        this.broken.push(`sample ${sample} is not the ledger's`);
      }
    }
  }

  private checkRequests(): void {
    for (const [req, runs] of this.world.runs) {
      if (runs > 1) this.broken.push(`${req} ran ${runs} times`);
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
    for (const text of this.world.toldFailed) {
      if (accepted.has(text))
        this.broken.push(`${text} failed and is in force`);
    }
    for (const vm of this.vms) {
      const same =
        vm.config.current(TEAM)?.version === history.current(TEAM)?.version;
      if (!same) this.broken.push('VMs differ on the configuration');
    }
  }

  /** Every VM holds what a reader of the whole stream holds; one owner a time. */
  private checkFolds(): void {
    const fold = createFold(this.world.guard);
    let owner = -1;
    for (const record of this.world.state.records) {
      const verdict = fold.apply(record);
      if (verdict.kind !== 'accepted') continue;
      const {value} = record;
      if (value.kind === 'lease_claimed') owner = verdict.fencing ?? owner;
      if ('fencing' in value && value.fencing !== owner) {
        this.broken.push(`record ${record.offset} of a former owner counts`);
      }
    }
    const expected = fold.toSnapshot();
    for (const vm of this.vms) {
      if (!isDeepStrictEqual(vm.fold.toSnapshot(), expected)) {
        this.broken.push('VMs differ on the state');
      }
    }
    if (fold.findStep(TENANT, STEP)?.closed === undefined) {
      this.broken.push('the step never closed');
    }
  }
}

/** Runs one schedule and returns the promises that broke; empty when all held. */
export function runSchedule(
  ops: readonly ScheduleOp[],
  guard: MissingGuard = 'none',
): readonly string[] {
  const run = new ScheduleRun(guard);
  for (const op of ops) run.apply(op);
  return run.finish();
}

/** The last code, of a VM's ordinary turn, stands for all higher ones too. */
export const SCHEDULE_OP_CODES = 26;
export const SCHEDULE_ARG_MAX = 255;

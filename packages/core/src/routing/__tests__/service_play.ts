/**
 * Plays requests of many VMs at the endpoints of one service, on a clock of its own: VMs
 * learn of endpoints only by answers, and endpoints queue what exceeds their slots.
 */

import {createRandomBits} from '../../scheduling/random_bits.js';
import {decideNextStep, type RequestTerms} from '../attempt_policy.js';
import {type EndpointChoice, LeastLoadedChoice} from '../endpoint_choice.js';
import {EndpointRecord, type LoadReport} from '../endpoint_record.js';
import {
  expectCompletionMs,
  ExpectedTimeChoice,
} from '../expected_time_choice.js';
import {
  FixedHedgePolicy,
  type HedgePolicy,
  MeasuredHedgePolicy,
} from '../hedge_policy.js';
import {ServiceRecord} from '../service_record.js';

export interface PlayedEndpoint {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Factor on the duration of work that starts at this time. */
  readonly slowdownAt?: (nowMs: number) => number;
  /** What the endpoint reports in place of the truth; undefined for nothing. */
  readonly reportAs?: (
    report: LoadReport,
    nowMs: number,
  ) => LoadReport | undefined;
  /** The endpoint crashes, and starts again under its id. */
  readonly crash?: {readonly atMs: number; readonly backAtMs: number};
}

export interface PlayOptions {
  readonly endpoints: readonly PlayedEndpoint[];
  /** Data centres of the VMs. */
  readonly vms: readonly string[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly objectiveMs: number;
  readonly workMs: number;
  readonly seed: number;
  readonly way: 'by load' | 'by time';
}

export interface PlayResult {
  readonly requests: number;
  /** Share of the requests that were answered within the objective. */
  readonly inTime: number;
  readonly failed: number;
  readonly p99Ms: number;
  /** Attempts that an endpoint started, by request. */
  readonly runsPerRequest: number;
  /** Share of all runs by endpoint. */
  readonly shares: Readonly<Record<string, number>>;
}

interface Attempt {
  readonly endpoint: Endpoint;
  readonly record: EndpointRecord;
  readonly startedMs: number;
  readonly end: (kind: 'answered' | 'refused' | 'full' | 'broken') => void;
  isOver: boolean;
}

interface Endpoint extends PlayedEndpoint {
  incarnation: number;
  isDown: boolean;
  readonly running: Set<Attempt>;
  waiting: Attempt[];
  runs: number;
}

interface Vm {
  readonly dataCentre: string;
  readonly choice: EndpointChoice;
  readonly hedges: HedgePolicy;
  readonly service: ServiceRecord;
  /** By endpoint and incarnation. */
  readonly records: Map<string, EndpointRecord>;
}

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

const QUEUE = 6;
const NEAR_TRIP_MS = 0.1;
const REMOTE_TRIP_MS = 1.4;
const TIME_LIMIT_MS = 2000;

export function playService(options: PlayOptions): PlayResult {
  return new ServicePlay(options).run();
}

class ServicePlay {
  private nowMs = 0;
  private readonly timers: Timer[] = [];
  private readonly bits: () => number;
  private readonly endpoints: readonly Endpoint[];
  private readonly vms: readonly Vm[];
  private readonly terms: RequestTerms;
  private readonly tookMs: number[] = [];
  private requests = 0;
  private failed = 0;

  constructor(private readonly options: PlayOptions) {
    const {seed, way, objectiveMs} = options;
    const bits = createRandomBits(seed);
    this.bits = () => bits() / 2 ** 32;
    this.terms = {isRepeatable: true, attempts: 2, objectiveMs};
    this.endpoints = options.endpoints.map(endpoint => ({
      ...endpoint,
      incarnation: 0,
      isDown: false,
      running: new Set<Attempt>(),
      waiting: [],
      runs: 0,
    }));
    this.vms = options.vms.map(dataCentre => createVm(dataCentre, way));
  }

  run(): PlayResult {
    this.planCrashes();
    this.planRequest();
    for (let timer = this.timers.pop(); timer; timer = this.timers.pop()) {
      this.nowMs = timer.atMs;
      timer.run();
    }
    return this.summarize();
  }

  private summarize(): PlayResult {
    const {objectiveMs} = this.options;
    const sorted = this.tookMs.sort((a, b) => a - b);
    const inTime = sorted.filter(ms => ms <= objectiveMs).length;
    const runs = this.endpoints.reduce((sum, {runs}) => sum + runs, 0);
    return {
      requests: this.requests,
      inTime: inTime / this.requests,
      failed: this.failed,
      p99Ms: sorted[Math.floor(sorted.length * 0.99)],
      runsPerRequest: runs / this.requests,
      shares: Object.fromEntries(
        this.endpoints.map(endpoint => [endpoint.id, endpoint.runs / runs]),
      ),
    };
  }

  /** Keeps the timers in descending order, so that the next one is the last. */
  private at(atMs: number, run: () => void): void {
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.timers[middle].atMs > atMs) low = middle + 1;
      else high = middle;
    }
    this.timers.splice(low, 0, {atMs, run});
  }

  private planCrashes(): void {
    for (const endpoint of this.endpoints) {
      const {crash} = endpoint;
      if (!crash) continue;
      this.at(crash.atMs, () => {
        endpoint.isDown = true;
        const lost = [...endpoint.running, ...endpoint.waiting];
        endpoint.running.clear();
        endpoint.waiting = [];
        for (const attempt of lost) attempt.end('broken');
      });
      this.at(crash.backAtMs, () => {
        endpoint.isDown = false;
        endpoint.incarnation += 1;
      });
    }
  }

  private planRequest(): void {
    const {requestsPerSecond, durationMs} = this.options;
    const gapMs = (-Math.log(1 - this.bits()) * 1000) / requestsPerSecond;
    const atMs = this.nowMs + gapMs;
    if (atMs >= durationMs) return;
    this.at(atMs, () => {
      const vm = this.vms[Math.floor(this.bits() * this.vms.length)];
      this.requests += 1;
      vm.service.budget.recordRequest();
      new Request(this, vm);
      this.planRequest();
    });
  }

  /** Interface for requests. */
  get host() {
    return {
      terms: this.terms,
      now: () => this.nowMs,
      random: this.bits,
      after: (ms: number, run: () => void) => this.at(this.nowMs + ms, run),
      describe: (vm: Vm) => this.describe(vm),
      send: (vm: Vm, id: string, end: Attempt['end']) => this.send(vm, id, end),
      cancel: (attempt: Attempt) => this.leave(attempt),
      settle: (tookMs: number | undefined) => {
        if (tookMs === undefined) this.failed += 1;
        else this.tookMs.push(tookMs);
      },
    };
  }

  private describe(vm: Vm) {
    return this.endpoints.map(endpoint =>
      getRecord(vm, endpoint).describe(endpoint, this.nowMs),
    );
  }

  private send(vm: Vm, id: string, onEnd: Attempt['end']): Attempt {
    const endpoint = this.endpoints.find(other => other.id === id)!;
    const isNear = endpoint.dataCentre === vm.dataCentre;
    const tripMs = isNear ? NEAR_TRIP_MS : REMOTE_TRIP_MS;
    const record = getRecord(vm, endpoint);
    record.recordStart();
    const attempt: Attempt = {
      endpoint,
      record,
      startedMs: this.nowMs,
      isOver: false,
      end: kind => {
        if (attempt.isOver) return;
        attempt.isOver = true;
        const report = this.report(endpoint);
        this.at(this.nowMs + tripMs, () => {
          record.recordEnd();
          if (kind === 'answered' && report) {
            record.recordReport(report, this.nowMs);
          }
          onEnd(kind);
        });
      },
    };
    this.at(this.nowMs + tripMs, () => this.arrive(attempt));
    return attempt;
  }

  private report(endpoint: Endpoint): LoadReport | undefined {
    const honest = {
      running: endpoint.running.size,
      waiting: endpoint.waiting.length,
      slowdown: endpoint.slowdownAt?.(this.nowMs) ?? 1,
    };
    const {reportAs} = endpoint;
    return reportAs ? reportAs(honest, this.nowMs) : honest;
  }

  private arrive(attempt: Attempt): void {
    const {endpoint} = attempt;
    if (attempt.isOver) return;
    if (endpoint.isDown) return attempt.end('refused');
    if (endpoint.waiting.length >= QUEUE) return attempt.end('full');
    endpoint.waiting.push(attempt);
    this.startWaiting(endpoint);
  }

  private startWaiting(endpoint: Endpoint): void {
    while (endpoint.running.size < endpoint.slots) {
      const attempt = endpoint.waiting.shift();
      if (!attempt) return;
      endpoint.running.add(attempt);
      endpoint.runs += 1;
      const slowdown = endpoint.slowdownAt?.(this.nowMs) ?? 1;
      this.at(this.nowMs + this.drawWorkMs() * slowdown, () => {
        if (attempt.isOver) return;
        endpoint.running.delete(attempt);
        attempt.end('answered');
        this.startWaiting(endpoint);
      });
    }
  }

  /** Half of the work is fixed, the rest has a long tail. */
  private drawWorkMs(): number {
    return (this.options.workMs / 2) * (1 - Math.log(1 - this.bits()));
  }

  private leave(attempt: Attempt): void {
    const {endpoint, record} = attempt;
    if (attempt.isOver) return;
    attempt.isOver = true;
    record.recordEnd();
    record.recordUnfinished(this.nowMs - attempt.startedMs, this.nowMs);
    endpoint.running.delete(attempt);
    endpoint.waiting = endpoint.waiting.filter(other => other !== attempt);
    this.startWaiting(endpoint);
  }
}

/** One request of a VM, with the retries and hedges of the gateway. */
class Request {
  private readonly startedMs: number;
  private readonly host: ServicePlay['host'];
  private readonly tried = new Set<string>();
  private readonly pending = new Set<Attempt>();
  private ran = 0;
  private notRun = 0;
  private isSettled = false;

  constructor(
    play: ServicePlay,
    private readonly vm: Vm,
  ) {
    this.host = play.host;
    this.startedMs = this.host.now();
    this.attempt(this.choose());
    this.host.after(TIME_LIMIT_MS, () => this.settle(false));
    this.planHedge(vm.hedges.measureDelayMs(this.host.terms));
  }

  private planHedge(delayMs: number | undefined): void {
    if (delayMs !== undefined) this.host.after(delayMs, () => this.hedge());
  }

  private hedge(): void {
    const {host, vm} = this;
    if (this.isSettled || this.pending.size !== 1 || this.ran >= 2) return;
    const id = this.choose();
    const candidates = host.describe(vm);
    const target = candidates.find(other => other.id === id);
    const elapsedMs = host.now() - this.startedMs;
    const step = vm.hedges.decide(host.terms, {
      elapsedMs,
      remainingMs: TIME_LIMIT_MS - elapsedMs,
      hasRoom: true,
      expectedMs:
        target && expectCompletionMs(target, candidates, vm.dataCentre),
      nowMs: host.now(),
    });
    if (step.kind === 'start') this.attempt(id);
    if (step.kind === 'wait') this.planHedge(step.untilMs - elapsedMs);
  }

  private choose(): string | undefined {
    const {host, vm, tried} = this;
    const random = host.random();
    const terms = {dataCentre: vm.dataCentre, random, nowMs: host.now()};
    const candidates = host.describe(vm);
    return vm.choice.choose(candidates, {...terms, tried})?.id;
  }

  private attempt(id: string | undefined): void {
    if (id === undefined) {
      if (this.pending.size === 0) this.settle(false);
      return;
    }
    this.tried.add(id);
    this.ran += 1;
    const attempt = this.host.send(this.vm, id, kind => {
      this.pending.delete(attempt);
      if (!this.isSettled) this.handleEnd(attempt, kind);
    });
    this.pending.add(attempt);
  }

  private handleEnd(
    {endpoint, record, startedMs}: Attempt,
    kind: Parameters<Attempt['end']>[0],
  ): void {
    const nowMs = this.host.now();
    if (kind === 'answered') {
      record.recordAnswer(nowMs - startedMs, nowMs);
      record.recordSuccess();
      this.vm.service.recordAnswer(nowMs - this.startedMs);
      return this.settle(true);
    }
    const isTimed = this.vm.choice instanceof ExpectedTimeChoice;
    if (kind === 'full' && isTimed) record.recordFull(endpoint.slots, nowMs);
    else record.recordFailure(nowMs);
    const hasRun = kind === 'broken';
    if (!hasRun) {
      this.ran -= 1;
      this.notRun += 1;
    }
    if (this.pending.size > 0) return;
    const end = {kind: hasRun ? 'unknown' : 'not_run'} as const;
    const tally = {ran: this.ran, notRun: this.notRun};
    const next = decideNextStep(this.host.terms, end, tally);
    const mayRetry = !hasRun || this.vm.hedges.takeRetry(nowMs);
    if (next.kind === 'try_again' && mayRetry) this.attempt(this.choose());
    else this.settle(false);
  }

  private settle(isAnswered: boolean): void {
    if (this.isSettled) return;
    this.isSettled = true;
    const tookMs = this.host.now() - this.startedMs;
    this.host.settle(isAnswered ? tookMs : undefined);
    for (const attempt of this.pending) this.host.cancel(attempt);
  }
}

function createVm(dataCentre: string, way: PlayOptions['way']): Vm {
  const service = new ServiceRecord();
  const isByLoad = way === 'by load';
  return {
    dataCentre,
    choice: isByLoad ? new LeastLoadedChoice() : new ExpectedTimeChoice(),
    hedges: isByLoad
      ? new FixedHedgePolicy()
      : new MeasuredHedgePolicy(service),
    service,
    records: new Map(),
  };
}

function getRecord(vm: Vm, endpoint: Endpoint): EndpointRecord {
  const key = `${endpoint.id}.${endpoint.incarnation}`;
  const record = vm.records.get(key) ?? new EndpointRecord();
  vm.records.set(key, record);
  return record;
}

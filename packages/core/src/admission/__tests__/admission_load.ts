/**
 * Plays load without a network: callers ask many VMs for a service of a few endpoints.
 * Each VM decides by itself, either with an `AdmissionControl` or in the naive way, which
 * sends at once, tries four endpoints and then refuses with a fixed delay.
 */

import {toTenantId} from '@radishyoke/shared/ids';
import {BinaryHeap} from '../../scheduling/binary_heap.js';
import {createRandomBits} from '../../scheduling/random_bits.js';
import {AdmissionControl} from '../admission_control.js';
import type {
  AdmissionRequest,
  ExchangeEnd,
  Refusal,
} from '../admission_request.js';

/** Callers of one account. */
export interface CallerGroup {
  readonly account: string;
  readonly priority: number;
  /** Requests per second at a time in s. */
  readonly perS: (atS: number) => number;
}

export interface LoadPlan {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  readonly lengthS: number;
  readonly groups: readonly CallerGroup[];
  /** Endpoints that lose what they run at this time, s, and are gone. */
  readonly lossAtS?: number;
  readonly lostEndpoints?: number;
  /** Whether some requests run much longer, and all of them on endpoints that are nearly full. */
  readonly isUneven?: boolean;
}

/** What the callers of one account got. */
export interface CallerTally {
  sent: number;
  /** Answered within the objective, counted from the first attempt. */
  inTime: number;
  /** Answered within the objective of the second attempt. */
  inTimeAfterRefusal: number;
  late: number;
  refused: number;
  failed: number;
}

export interface LoadResult {
  readonly total: CallerTally;
  readonly byAccount: ReadonlyMap<string, CallerTally>;
  /** Answers that endpoints gave to say that they are full. */
  readonly fullAnswers: number;
  /** Longest time from a request until its refusal, ms. */
  readonly slowestRefusalMs: number;
  /** Sum of the VMs' limits at each 100 ms in which all of them had one, requests per second. */
  readonly limitSums: readonly number[];
  /** Times at which refused callers returned, ms. */
  readonly returnsAtMs: readonly number[];
  /** Requests that were refused although an endpoint ran them, before or after. */
  readonly untrueRefusals: number;
}

export const OBJECTIVE_MS = 186;
const DEADLINE_MS = 800;
const SERVICE_MS = 36;
/** Where service times are uneven: share of the long runs, and how much longer they and those beside a full queue take. */
const LONG_SHARE = 0.01;
const LONG_FACTOR = 5;
const FULL_FACTOR = 1.6;
const SLOTS = 6;
const ENDPOINT_QUEUE = 24;
const LINK_MS = 1;
const NAIVE_TRIES = 4;
const NAIVE_RETRY_MS = 150;
/** Requests per second that one endpoint runs. */
export const ENDPOINT_PER_S = (SLOTS * 1000) / SERVICE_MS;
/** Time until VMs learn that endpoints are gone. */
const NOTICE_MS = 300;

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** One attempt of a caller. */
class Attempt implements AdmissionRequest {
  readonly account;
  readonly priority: number;
  readonly route = 'route';
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  isReturning = false;
  hasEnded = false;
  hasRun = false;
  wasRefused = false;
  tries = 0;
  vm = 0;

  constructor(
    readonly group: CallerGroup,
    readonly startMs: number,
    /** Start of the caller's first attempt. */
    readonly firstMs: number,
  ) {
    this.account = toTenantId(group.account);
    this.priority = group.priority;
    this.objectiveAtMs = startMs + OBJECTIVE_MS;
    this.deadlineAtMs = firstMs + DEADLINE_MS;
  }
}

/** Tells an endpoint's answer and the load of that endpoint. */
type ReplyTo = (end: ExchangeEnd['kind'], load: Endpoint) => void;

/** Runs up to `SLOTS` requests and lets a few more wait. */
class Endpoint {
  isGone = false;
  running = 0;
  readonly queue: Array<() => void> = [];

  constructor(private readonly play: LoadPlay) {}

  receive(attempt: Attempt, reply: ReplyTo): void {
    if (this.isGone) return reply('other', this);
    if (this.queue.length >= ENDPOINT_QUEUE) return reply('full', this);
    this.queue.push(() => {
      attempt.hasRun = true;
      this.running += 1;
      this.play.after(this.drawServiceMs(), () => {
        this.running -= 1;
        this.runNext();
        reply(this.isGone ? 'other' : 'answered', this);
      });
    });
    this.runNext();
  }

  private drawServiceMs(): number {
    const ms = SERVICE_MS * (0.5 + this.play.random());
    if (!this.play.isUneven) return ms;
    const isLong = this.play.random() < LONG_SHARE;
    const fullness = this.queue.length / ENDPOINT_QUEUE;
    const slowdown = 1 + (FULL_FACTOR - 1) * Math.max(2 * fullness - 1, 0);
    return ms * slowdown * (isLong ? LONG_FACTOR : 1);
  }

  private runNext(): void {
    while (this.running < SLOTS && this.queue.length > 0) this.queue.shift()!();
  }
}

/** Plays `plan` to its end; a `LoadPlay` is used once. */
export class LoadPlay {
  private readonly events = new BinaryHeap<Event>((a, b) =>
    a.atMs === b.atMs ? a.order < b.order : a.atMs < b.atMs,
  );
  private readonly endpoints: readonly Endpoint[];
  private readonly controls: ReadonlyArray<AdmissionControl<Attempt>>;
  private readonly wakeAtMs: number[] = [];
  private readonly attempts: Attempt[] = [];
  private readonly byAccount = new Map<string, CallerTally>();
  private readonly limitSums: number[] = [];
  private readonly returnsAtMs: number[] = [];
  private readonly bits;
  private nowMs = 0;
  private order = 0;
  private fullAnswers = 0;
  private slowestRefusalMs = 0;

  constructor(
    private readonly plan: LoadPlan,
    private readonly isControlled: boolean,
  ) {
    this.bits = createRandomBits(plan.seed);
    this.endpoints = createList(plan.endpoints, () => new Endpoint(this));
    this.controls = createList(plan.vms, () => new AdmissionControl<Attempt>());
    for (const control of this.controls) {
      control.setSlots(plan.endpoints * SLOTS);
    }
    for (const {account} of plan.groups) {
      this.byAccount.set(account, createTally());
    }
  }

  run(): LoadResult {
    for (const group of this.plan.groups) this.scheduleArrival(group);
    if (this.plan.lossAtS !== undefined) this.scheduleLoss(this.plan.lossAtS);
    this.after(100, () => this.sampleLimits());
    for (;;) {
      const event = this.events.pop();
      if (!event) break;
      this.nowMs = event.atMs;
      event.run();
    }
    return {
      total: sumTallies([...this.byAccount.values()]),
      byAccount: this.byAccount,
      fullAnswers: this.fullAnswers,
      slowestRefusalMs: this.slowestRefusalMs,
      limitSums: this.limitSums,
      returnsAtMs: this.returnsAtMs,
      untrueRefusals: this.attempts.filter(
        ({wasRefused, hasRun}) => wasRefused && hasRun,
      ).length,
    };
  }

  get isUneven(): boolean {
    return this.plan.isUneven ?? false;
  }

  random(): number {
    return this.bits() / 2 ** 32;
  }

  after(delayMs: number, run: () => void): void {
    this.events.push({atMs: this.nowMs + delayMs, order: this.order++, run});
  }

  private scheduleArrival(group: CallerGroup): void {
    const perS = group.perS(this.nowMs / 1000);
    const gapMs =
      perS > 0 ? (-Math.log(1 - this.random()) * 1000) / perS : Infinity;
    // Looks again soon, since the rate may have changed by then.
    const isArrival = gapMs < 20;
    this.after(Math.min(gapMs, 20), () => {
      if (this.nowMs > this.plan.lengthS * 1000) return;
      if (isArrival) {
        this.byAccount.get(group.account)!.sent += 1;
        this.start(new Attempt(group, this.nowMs, this.nowMs));
      }
      this.scheduleArrival(group);
    });
  }

  private scheduleLoss(atS: number): void {
    this.after(atS * 1000, () => {
      const lost = this.endpoints.slice(0, this.plan.lostEndpoints);
      for (const endpoint of lost) endpoint.isGone = true;
    });
    this.after(atS * 1000 + NOTICE_MS, () => {
      const left = this.endpoints.filter(({isGone}) => !isGone);
      for (const control of this.controls) {
        control.setSlots(left.length * SLOTS);
      }
    });
  }

  private sampleLimits(): void {
    const limits = this.controls.map(({limitPerS}) => limitPerS ?? Infinity);
    const sum = limits.reduce((a, b) => a + b, 0);
    if (sum < Infinity) this.limitSums.push(sum);
    if (this.nowMs < this.plan.lengthS * 1000) {
      this.after(100, () => this.sampleLimits());
    }
  }

  private start(attempt: Attempt): void {
    this.attempts.push(attempt);
    attempt.vm = Math.floor(this.random() * this.plan.vms);
    this.after(attempt.deadlineAtMs - this.nowMs, () => this.expire(attempt));
    if (!this.isControlled) return this.send(attempt);
    const control = this.controls[attempt.vm];
    attempt.isReturning = control.takeReturn(attempt.account, this.nowMs);
    this.enter(attempt);
  }

  private enter(attempt: Attempt): void {
    const control = this.controls[attempt.vm];
    const {verdict, displaced} = control.arrive(
      attempt,
      this.nowMs,
      this.random(),
    );
    if (displaced?.verdict.kind === 'refuse') {
      this.refuse(displaced.request, displaced.verdict.refusal);
    }
    if (verdict.kind === 'send') this.send(attempt);
    if (verdict.kind === 'refuse') this.refuse(attempt, verdict.refusal);
    this.release(attempt.vm);
  }

  private release(vm: number): void {
    const control = this.controls[vm];
    for (const {request, verdict} of control.release(this.nowMs, () =>
      this.random(),
    )) {
      if (verdict.kind === 'send') this.send(request);
      else this.refuse(request, verdict.refusal);
    }
    this.scheduleWake(vm);
  }

  private scheduleWake(vm: number): void {
    const waitMs = this.controls[vm].measureNextReleaseMs(this.nowMs);
    if (waitMs === undefined) return;
    const atMs = this.nowMs + Math.max(waitMs, 1);
    if ((this.wakeAtMs[vm] ?? 0) > this.nowMs && this.wakeAtMs[vm] <= atMs) {
      return;
    }
    this.wakeAtMs[vm] = atMs;
    this.after(atMs - this.nowMs, () => {
      if (this.wakeAtMs[vm] === atMs) this.release(vm);
    });
  }

  private send(attempt: Attempt): void {
    attempt.tries += 1;
    const startMs = this.nowMs;
    const index = Math.floor(this.random() * this.endpoints.length);
    this.after(LINK_MS, () =>
      this.endpoints[index].receive(attempt, (kind, endpoint) =>
        this.after(LINK_MS, () => {
          if (kind === 'full') this.fullAnswers += 1;
          this.receive(attempt, kind, endpoint, this.nowMs - startMs);
        }),
      ),
    );
  }

  private receive(
    attempt: Attempt,
    kind: ExchangeEnd['kind'],
    endpoint: Endpoint,
    tookMs: number,
  ): void {
    if (this.isControlled) {
      const load = {
        running: endpoint.running,
        waiting: endpoint.queue.length,
        slots: SLOTS,
      };
      const end =
        kind === 'answered'
          ? {kind, answeredInMs: tookMs, tookMs, load}
          : {kind};
      this.controls[attempt.vm].recordEnd(
        {route: attempt.route, objectiveMs: OBJECTIVE_MS, end},
        this.nowMs,
      );
    }
    if (!attempt.hasEnded) this.continueAfter(attempt, kind);
    if (this.isControlled) this.release(attempt.vm);
  }

  private continueAfter(attempt: Attempt, kind: ExchangeEnd['kind']): void {
    if (kind === 'answered') return this.answer(attempt);
    if (this.isControlled) {
      attempt.isReturning = true;
      return this.enter(attempt);
    }
    if (attempt.tries < NAIVE_TRIES) return this.send(attempt);
    if (attempt.hasRun) return this.fail(attempt);
    this.refuse(attempt, {
      reason: 'queue_full',
      retryAfterMs: NAIVE_RETRY_MS,
      facts: {
        limitPerS: undefined,
        inFlight: 0,
        waiting: 0,
        expectedWaitMs: 0,
      },
    });
  }

  private answer(attempt: Attempt): void {
    attempt.hasEnded = true;
    const tally = this.byAccount.get(attempt.group.account)!;
    if (this.nowMs <= attempt.firstMs + OBJECTIVE_MS) tally.inTime += 1;
    else if (this.nowMs <= attempt.objectiveAtMs) tally.inTimeAfterRefusal += 1;
    else tally.late += 1;
  }

  private refuse(attempt: Attempt, {retryAfterMs}: Refusal): void {
    // The attempt that ran on a lost endpoint fails; only others may be refused.
    if (attempt.hasRun) return this.fail(attempt);
    attempt.hasEnded = true;
    attempt.wasRefused = true;
    const tookMs = this.nowMs - attempt.startMs;
    this.slowestRefusalMs = Math.max(this.slowestRefusalMs, tookMs);
    const isFirst = attempt.startMs === attempt.firstMs;
    if (!isFirst) {
      this.byAccount.get(attempt.group.account)!.refused += 1;
      return;
    }
    const remainingMs = attempt.deadlineAtMs - this.nowMs;
    this.after(Math.min(retryAfterMs, remainingMs / 3), () => {
      this.returnsAtMs.push(this.nowMs);
      this.start(new Attempt(attempt.group, this.nowMs, attempt.firstMs));
    });
  }

  private expire(attempt: Attempt): void {
    if (attempt.hasEnded) return;
    this.controls[attempt.vm].leave(attempt);
    this.fail(attempt);
  }

  private fail(attempt: Attempt): void {
    attempt.hasEnded = true;
    this.byAccount.get(attempt.group.account)!.failed += 1;
  }
}

/** Plays `plan` with admission control and in the naive way. */
export function playBoth(plan: LoadPlan): {
  readonly controlled: LoadResult;
  readonly naive: LoadResult;
} {
  return {
    controlled: new LoadPlay(plan, true).run(),
    naive: new LoadPlay(plan, false).run(),
  };
}

/** Share of the callers that were answered within the objective of one of their attempts. */
export function shareInTime(tally: CallerTally): number {
  return (tally.inTime + tally.inTimeAfterRefusal) / tally.sent;
}

function createTally(): CallerTally {
  return {
    sent: 0,
    inTime: 0,
    inTimeAfterRefusal: 0,
    late: 0,
    refused: 0,
    failed: 0,
  };
}

export function sumTallies(tallies: readonly CallerTally[]): CallerTally {
  const total = createTally();
  for (const tally of tallies) {
    for (const key of Object.keys(total) as Array<keyof CallerTally>) {
      total[key] += tally[key];
    }
  }
  return total;
}

function createList<T>(length: number, create: () => T): readonly T[] {
  return Array.from({length}, create);
}

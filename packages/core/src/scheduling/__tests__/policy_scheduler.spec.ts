import test from 'ava';
import fc from 'fast-check';
import {toEndpointId, toTenantId, toVmId} from '@radishyoke/shared/ids';
import type {FailureKind} from '../failure.js';
import type {PolicyScheduler} from '../policy_scheduler.js';
import {RETRY_TABLE} from '../retry_policy.js';
import type {SchedulerAction, SchedulerEvent, WorkItem} from '../scheduler.js';
import {
  createEndpoint,
  createReport,
  createScheduler,
  createWork,
} from '../../__tests__/scheduler_fixture.js';

const ENGINES = ['a', 'b', 'c'] as const;
const FAILURES = Object.keys(RETRY_TABLE) as FailureKind[];

/** Runs a scheduler and tracks work items by its actions alone. */
class WorkTracker {
  nowMs = 0;
  /** Oldest weight version that steps accept. */
  minVersion = 1;
  /** Weight version that engines report and generate with. */
  version = 1;
  /** Weight version of each work item's last output. */
  readonly versions = new Map<string, number>();
  readonly running = new Map<string, {attempt: number; endpoint: string}[]>();
  readonly workItems = new Map<string, WorkItem>();
  readonly sent = new Set<string>();
  readonly unsent = new Map<string, number>();
  readonly ended = new Map<string, number>();
  readonly leaving = new Set<string>();
  readonly problems: string[] = [];

  constructor(readonly scheduler: PolicyScheduler) {}

  handle(event: SchedulerEvent): void {
    if (event.kind === 'enqueue') this.workItems.set(event.work.id, event.work);
    for (const action of this.scheduler.handle(event, this.nowMs)) {
      this.apply(action);
    }
  }

  endAttempt(
    index: number,
    failure: FailureKind | undefined,
    sent: boolean,
  ): void {
    const picked = this.pickAttempt(index);
    if (!picked) return;
    const {workId, attempt} = picked;
    this.removeAttempt(workId, attempt);
    const isSent = sent && failure !== 'connect_failed';
    if (isSent || !failure) this.sent.add(workId);
    else this.unsent.set(workId, (this.unsent.get(workId) ?? 0) + 1);
    this.handle({
      kind: 'ended',
      workId,
      attempt,
      outcome: failure
        ? {kind: 'failed', failure, sent: isSent, tokensReceived: 0}
        : {kind: 'finished', tokens: 5, spans: [this.makeSpan(workId)]},
    });
  }

  /** Some work items get output one version old, as from a lagging engine. */
  private makeSpan(workId: string) {
    const weightVersion = Math.max(1, this.version - (workId.length % 2));
    this.versions.set(workId, weightVersion);
    return {weightVersion, tokens: 5};
  }

  progress(index: number): void {
    const picked = this.pickAttempt(index);
    if (!picked) return;
    const {version: weightVersion} = this;
    this.handle({kind: 'progress', ...picked, tokens: 3, weightVersion});
  }

  /** Cancels a work item; no further action may follow for it. */
  cancel(index: number): void {
    const open = [...this.workItems.keys()].filter(id => !this.ended.has(id));
    if (open.length === 0) return;
    const workId = open[index % open.length];
    this.handle({kind: 'cancel', workId});
    this.ended.set(workId, 1);
    this.running.delete(workId);
  }

  private pickAttempt(index: number) {
    const all = [...this.running].flatMap(([workId, attempts]) =>
      attempts.map(({attempt}) => ({workId, attempt})),
    );
    return all.length > 0 ? all[index % all.length] : undefined;
  }

  private apply(action: SchedulerAction): void {
    if (action.kind === 'report_crash') return;
    const {workId} = action;
    if (this.ended.has(workId))
      this.problems.push(`${workId} has an action after its end`);
    if (action.kind === 'start') return this.start(action);
    if (action.kind === 'stop')
      return this.removeAttempt(workId, action.attempt);
    this.ended.set(workId, 1);
    const isUntrue =
      action.kind === 'give_up' &&
      action.error.ran === 'no' &&
      this.sent.has(workId);
    if (isUntrue)
      this.problems.push(`${workId} ran but was reported as not run`);
    const isStale =
      action.kind === 'done' &&
      this.workItems.get(workId)!.workClass === 'rollout' &&
      this.versions.get(workId)! < this.minVersion;
    if (isStale) this.problems.push(`${workId} delivered stale output`);
    this.running.delete(workId);
  }

  private start(action: SchedulerAction & {kind: 'start'}): void {
    const {workId, attempt, endpoint} = action;
    const work = this.workItems.get(workId)!;
    // Attempts of rollouts that never reached an endpoint don't count.
    const unsent =
      work.workClass === 'rollout' ? (this.unsent.get(workId) ?? 0) : 0;
    if (attempt - unsent > work.maxAttempts) {
      this.problems.push(`${workId} exceeds its attempts`);
    }
    if (this.leaving.has(endpoint))
      this.problems.push(`${workId} starts on a leaving endpoint`);
    const running = this.running.get(workId) ?? [];
    const isSecond = running.length > 0 || this.sent.has(workId);
    if (!work.idempotent && isSecond)
      this.problems.push(`${workId} is sent twice`);
    this.running.set(workId, [...running, {attempt, endpoint}]);
  }

  private removeAttempt(workId: string, attempt: number): void {
    const running = this.running.get(workId) ?? [];
    this.running.set(
      workId,
      running.filter(other => other.attempt !== attempt),
    );
  }
}

type Op =
  | {
      readonly op: 'enqueue';
      readonly idempotent: boolean;
      readonly tenant: number;
      readonly interactive: boolean;
      readonly fingerprint: number;
    }
  | {
      readonly op: 'end';
      readonly index: number;
      readonly failure: FailureKind | undefined;
      readonly sent: boolean;
    }
  | {readonly op: 'wait'; readonly ms: number}
  | {readonly op: 'leave' | 'back'; readonly engine: number}
  | {readonly op: 'report'; readonly engine: number; readonly waiting: number}
  | {readonly op: 'peer'; readonly engine: number; readonly count: number}
  | {readonly op: 'publish' | 'raise'}
  | {readonly op: 'progress' | 'cancel'; readonly index: number}
  | {readonly op: 'suspect'; readonly fingerprint: number};

const opArbitrary: fc.Arbitrary<Op> = fc.oneof(
  fc.record({
    op: fc.constant('enqueue' as const),
    idempotent: fc.boolean(),
    tenant: fc.nat(2),
    interactive: fc.boolean(),
    fingerprint: fc.nat(4),
  }),
  fc.record({
    op: fc.constant('end' as const),
    index: fc.nat(50),
    failure: fc.option(fc.constantFrom(...FAILURES), {nil: undefined}),
    sent: fc.boolean(),
  }),
  fc.record({op: fc.constant('wait' as const), ms: fc.nat(3000)}),
  fc.record({
    op: fc.constant('report' as const),
    engine: fc.nat(2),
    waiting: fc.nat(3),
  }),
  fc.record({
    op: fc.constant('peer' as const),
    engine: fc.nat(2),
    count: fc.nat(20),
  }),
  fc.record({op: fc.constantFrom('publish' as const, 'raise' as const)}),
  fc.record({
    op: fc.constantFrom('progress' as const, 'cancel' as const),
    index: fc.nat(50),
  }),
  fc.record({op: fc.constant('suspect' as const), fingerprint: fc.nat(4)}),
  fc.record({
    op: fc.constantFrom('leave' as const, 'back' as const),
    engine: fc.nat(2),
  }),
);

function applyOp(tracker: WorkTracker, op: Op, index: number): void {
  switch (op.op) {
    case 'enqueue':
      return tracker.handle({
        kind: 'enqueue',
        work: createWork(`w${index}`, {
          idempotent: op.idempotent,
          tenant: toTenantId(`t${op.tenant}`),
          workClass: op.interactive ? 'interactive' : 'rollout',
          fingerprint: `f${op.fingerprint}`,
          stepKey: op.interactive ? '' : `s${op.tenant}`,
          minWeightVersion: op.interactive ? 0 : tracker.minVersion,
        }),
      });
    case 'end':
      return tracker.endAttempt(op.index, op.failure, op.sent);
    case 'wait':
      tracker.nowMs += op.ms;
      return tracker.handle({kind: 'tick'});
    case 'report':
      return tracker.handle({
        kind: 'load',
        report: createReport(ENGINES[op.engine], {
          waiting: op.waiting,
          running: 5,
          weightVersion: tracker.version,
          leaving: tracker.leaving.has(ENGINES[op.engine]),
          measuredAtMs: tracker.nowMs,
        }),
      });
    case 'peer':
      return tracker.handle({
        kind: 'peer_load',
        vm: toVmId('vm-2'),
        inFlight: new Map([[toEndpointId(ENGINES[op.engine]), op.count]]),
      });
    case 'publish':
      tracker.version++;
      return;
    case 'raise':
      tracker.minVersion = Math.min(tracker.version, tracker.minVersion + 1);
      return raiseAllBounds(tracker);
    case 'progress':
      return tracker.progress(op.index);
    case 'cancel':
      return tracker.cancel(op.index);
    case 'suspect':
      return tracker.handle({
        kind: 'suspects',
        fingerprints: [`f${op.fingerprint}`, 'other'],
      });
    default: {
      const id = ENGINES[op.engine];
      if (op.op === 'leave') tracker.leaving.add(id);
      else tracker.leaving.delete(id);
      const endpoints = ENGINES.map(e =>
        createEndpoint(e, tracker.leaving.has(e) ? 'leaving' : 'live'),
      );
      return tracker.handle({kind: 'endpoints', endpoints});
    }
  }
}

function raiseAllBounds(tracker: WorkTracker): void {
  for (const stepKey of ['s0', 's1', 's2']) {
    const minWeightVersion = tracker.minVersion;
    tracker.handle({kind: 'min_version', stepKey, minWeightVersion});
  }
}

/** Makes all endpoints usable and finishes all remaining work items. */
function finishAll(tracker: WorkTracker): void {
  tracker.leaving.clear();
  const endpoints = ENGINES.map(id => createEndpoint(id));
  tracker.handle({kind: 'endpoints', endpoints});
  tracker.version += 2;
  for (const id of ENGINES) {
    const weightVersion = tracker.version;
    const measuredAtMs = tracker.nowMs + 1;
    const report = createReport(id, {weightVersion, measuredAtMs});
    tracker.handle({kind: 'load', report});
  }
  const vm = toVmId('vm-2');
  tracker.handle({kind: 'peer_load', vm, inFlight: new Map()});
  for (let i = 0; i < 500 && tracker.scheduler.countWorkItems() > 0; i++) {
    tracker.endAttempt(0, undefined, true);
    tracker.nowMs += 100;
    tracker.handle({kind: 'tick'});
  }
}

// Guards against a scheduler that loses a work item, ends it twice, sends a
// non-idempotent request again after the first may have been received, or delivers
// output older than the bound. Requests of all kinds arrive while endpoints fail
// and leave, weights change, bounds rise, callers cancel and peers report load.
test('every work item ends once, non-idempotent ones are sent once, no output is stale', t => {
  fc.assert(
    fc.property(fc.array(opArbitrary, {maxLength: 150, size: 'max'}), ops => {
      const tracker = new WorkTracker(createScheduler(ENGINES));
      ops.forEach((op, index) => applyOp(tracker, op, index));
      finishAll(tracker);
      const missing = [...tracker.workItems.keys()].filter(
        id => !tracker.ended.has(id),
      );
      return tracker.problems.length === 0 && missing.length === 0;
    }),
    {seed: 4, numRuns: 300},
  );
  t.pass();
});

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

/** Runs a scheduler and keeps an account of each work by its actions alone. */
class Account {
  nowMs = 0;
  /** Oldest version of use to any step. */
  min = 1;
  /** Version that engines report and make output with. */
  version = 1;
  /** Version of the last output of each work. */
  readonly versions = new Map<string, number>();
  readonly live = new Map<string, {attempt: number; endpoint: string}[]>();
  readonly works = new Map<string, WorkItem>();
  readonly sent = new Set<string>();
  readonly unsent = new Map<string, number>();
  readonly finals = new Map<string, number>();
  readonly leaving = new Set<string>();
  readonly problems: string[] = [];

  constructor(readonly scheduler: PolicyScheduler) {}

  handle(event: SchedulerEvent): void {
    if (event.kind === 'enqueue') this.works.set(event.work.id, event.work);
    for (const action of this.scheduler.handle(event, this.nowMs)) {
      this.apply(action);
    }
  }

  end(index: number, failure: FailureKind | undefined, sent: boolean): void {
    const found = this.pick(index);
    if (!found) return;
    const {workId, attempt} = found;
    this.drop(workId, attempt);
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

  /** Engines that lag make output one version behind the newest. */
  private makeSpan(workId: string) {
    const weightVersion = Math.max(1, this.version - (workId.length % 2));
    this.versions.set(workId, weightVersion);
    return {weightVersion, tokens: 5};
  }

  progress(index: number): void {
    const found = this.pick(index);
    if (!found) return;
    const {version: weightVersion} = this;
    this.handle({kind: 'progress', ...found, tokens: 3, weightVersion});
  }

  /** The caller goes away: no end is told, and nothing may follow. */
  cancel(index: number): void {
    const open = [...this.works.keys()].filter(id => !this.finals.has(id));
    if (open.length === 0) return;
    const workId = open[index % open.length];
    this.handle({kind: 'cancel', workId});
    this.finals.set(workId, 1);
    this.live.delete(workId);
  }

  private pick(index: number) {
    const all = [...this.live].flatMap(([workId, attempts]) =>
      attempts.map(({attempt}) => ({workId, attempt})),
    );
    return all.length > 0 ? all[index % all.length] : undefined;
  }

  private apply(action: SchedulerAction): void {
    if (action.kind === 'report_crash') return;
    const {workId} = action;
    if (this.finals.has(workId)) this.problems.push(`${workId} after its end`);
    if (action.kind === 'start') return this.start(action);
    if (action.kind === 'stop') return this.drop(workId, action.attempt);
    this.finals.set(workId, 1);
    const isUntrue =
      action.kind === 'give_up' &&
      action.error.ran === 'no' &&
      this.sent.has(workId);
    if (isUntrue) this.problems.push(`${workId} ran though told it did not`);
    const isStale =
      action.kind === 'done' &&
      this.works.get(workId)!.workClass === 'rollout' &&
      this.versions.get(workId)! < this.min;
    if (isStale) this.problems.push(`${workId} handed over stale`);
    this.live.delete(workId);
  }

  private start(action: SchedulerAction & {kind: 'start'}): void {
    const {workId, attempt, endpoint} = action;
    const work = this.works.get(workId)!;
    // What never reached an endpoint doesn't count for rollouts.
    const unsent =
      work.workClass === 'rollout' ? (this.unsent.get(workId) ?? 0) : 0;
    if (attempt - unsent > work.maxAttempts) {
      this.problems.push(`${workId} too often`);
    }
    if (this.leaving.has(endpoint)) this.problems.push(`${workId} to leaving`);
    const running = this.live.get(workId) ?? [];
    const isSecond = running.length > 0 || this.sent.has(workId);
    if (!work.idempotent && isSecond) this.problems.push(`${workId} twice`);
    this.live.set(workId, [...running, {attempt, endpoint}]);
  }

  private drop(workId: string, attempt: number): void {
    const running = this.live.get(workId) ?? [];
    this.live.set(
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

function run(account: Account, op: Op, index: number): void {
  switch (op.op) {
    case 'enqueue':
      return account.handle({
        kind: 'enqueue',
        work: createWork(`w${index}`, {
          idempotent: op.idempotent,
          tenant: toTenantId(`t${op.tenant}`),
          workClass: op.interactive ? 'interactive' : 'rollout',
          fingerprint: `f${op.fingerprint}`,
          stepKey: op.interactive ? '' : `s${op.tenant}`,
          minWeightVersion: op.interactive ? 0 : account.min,
        }),
      });
    case 'end':
      return account.end(op.index, op.failure, op.sent);
    case 'wait':
      account.nowMs += op.ms;
      return account.handle({kind: 'tick'});
    case 'report':
      return account.handle({
        kind: 'load',
        report: createReport(ENGINES[op.engine], {
          waiting: op.waiting,
          running: 5,
          weightVersion: account.version,
          leaving: account.leaving.has(ENGINES[op.engine]),
          measuredAtMs: account.nowMs,
        }),
      });
    case 'peer':
      return account.handle({
        kind: 'peer_load',
        vm: toVmId('vm-2'),
        inFlight: new Map([[toEndpointId(ENGINES[op.engine]), op.count]]),
      });
    case 'publish':
      account.version++;
      return;
    case 'raise':
      account.min = Math.min(account.version, account.min + 1);
      return raiseAll(account);
    case 'progress':
      return account.progress(op.index);
    case 'cancel':
      return account.cancel(op.index);
    case 'suspect':
      return account.handle({
        kind: 'suspects',
        fingerprints: [`f${op.fingerprint}`, 'other'],
      });
    default: {
      const id = ENGINES[op.engine];
      if (op.op === 'leave') account.leaving.add(id);
      else account.leaving.delete(id);
      const endpoints = ENGINES.map(e =>
        createEndpoint(e, account.leaving.has(e) ? 'leaving' : 'live'),
      );
      return account.handle({kind: 'endpoints', endpoints});
    }
  }
}

function raiseAll(account: Account): void {
  for (const stepKey of ['s0', 's1', 's2']) {
    const minWeightVersion = account.min;
    account.handle({kind: 'min_version', stepKey, minWeightVersion});
  }
}

/** Lets everything that is left run to its end. */
function drain(account: Account): void {
  account.leaving.clear();
  const endpoints = ENGINES.map(id => createEndpoint(id));
  account.handle({kind: 'endpoints', endpoints});
  account.version += 2;
  for (const id of ENGINES) {
    const weightVersion = account.version;
    const measuredAtMs = account.nowMs + 1;
    const report = createReport(id, {weightVersion, measuredAtMs});
    account.handle({kind: 'load', report});
  }
  const vm = toVmId('vm-2');
  account.handle({kind: 'peer_load', vm, inFlight: new Map()});
  for (let i = 0; i < 500 && account.scheduler.countWorks() > 0; i++) {
    account.end(0, undefined, true);
    account.nowMs += 100;
    account.handle({kind: 'tick'});
  }
}

// A caller gets no answer, two answers, or finds a note filed twice.
// 1. Requests of all kinds come while endpoints fail in every way and leave.
// 2. Retries, hedges and waits overlap.
// 3. Weights change, steps' bounds rise, callers go away, other VMs tell of load.
// Cause: the scheduler loses a work, ends it twice, sends a non-idempotent
// request again after the first could have been received, or hands over output
// that is older than the bound.
test('every work ends once, the non-idempotent are sent once, nothing is stale', t => {
  fc.assert(
    fc.property(fc.array(opArbitrary, {maxLength: 150, size: 'max'}), ops => {
      const account = new Account(createScheduler(ENGINES));
      ops.forEach((op, index) => run(account, op, index));
      drain(account);
      const missing = [...account.works.keys()].filter(
        id => !account.finals.has(id),
      );
      return account.problems.length === 0 && missing.length === 0;
    }),
    {seed: 4, numRuns: 300},
  );
  t.pass();
});

/** What the records of the stream `state` cost: bytes, folding, what is kept. */

import {StateFold} from '@radishyoke/core/state_fold';
import {
  toEndpointId,
  toIncarnationId,
  toRequestId,
  toStepId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {LoggedRecord, StateRecord} from '@radishyoke/shared/log_record';
import {createSlope, measureCpuMs, measureHeapBytes, Slope} from './slope.js';

const GROUPS = 64;
const SAMPLES_PER_GROUP = 8;
const SAMPLES = GROUPS * SAMPLES_PER_GROUP;
const PROMPT_CHARS = 1000;
/** Samples and attempts that one record names, as an owner batches them. */
const BATCH = 8;
const CLAIMS = 5000;
const STEPS = 8;
const DIGEST = 'd'.repeat(64);

type Body = StateRecord extends infer R
  ? R extends StateRecord
    ? Omit<R, 'stamp'>
    : never
  : never;

export function* measureRecords(): Generator<Slope> {
  yield* measureBytes();
  yield* measureFold();
}

function* measureBytes(): Generator<Slope> {
  const log = new RecordList();
  const bytes = (body: Body) => JSON.stringify(log.create(body)).length;
  yield createSlope(
    'session_bytes',
    bytes({kind: 'session', ttlMs: 6000}),
    'B',
  );
  const opened = bytes(createOpening(0));
  yield createSlope('step_opened_bytes', opened, 'B');
  const started = bytes(createStarted(0, 0, BATCH));
  yield createSlope('attempt_started_bytes', started / BATCH, 'B');
  const committed = bytes(createCommitted(0, 0, BATCH));
  yield createSlope('sample_committed_bytes', committed / BATCH, 'B');
  yield createSlope('acknowledged_bytes', bytes(createAcknowledged(0)), 'B');
  yield createSlope('request_claimed_bytes', bytes(createClaim(0)), 'B');
}

function* measureFold(): Generator<Slope> {
  const log = new RecordList();
  const steps = Array.from({length: STEPS}, (_, i) => createStep(i)).flat();
  const records = [createSession(), ...steps].map(body => log.create(body));
  let fold!: StateFold;
  let cpuMs = 0;
  const heap = measureHeapBytes(() => {
    fold = new StateFold();
    cpuMs = measureCpuMs(() => records.forEach(record => apply(fold, record)));
    return fold;
  });
  yield createSlope('record_fold_cpu_ms', cpuMs / records.length, 'ms');
  yield createSlope('open_step_heap', heap / STEPS, 'B');
  const claims = Array.from({length: CLAIMS}, (_, i) =>
    log.create(createClaim(i)),
  );
  const claimHeap = measureHeapBytes(() => {
    for (const claim of claims) apply(fold, claim);
    return fold;
  });
  yield createSlope('request_claim_heap', claimHeap / CLAIMS, 'B');
}

/** A record that the fold refuses would make the figures too good. */
function apply(fold: StateFold, record: LoggedRecord<StateRecord>): void {
  const verdict = fold.apply(record);
  if (verdict.kind === 'accepted') return;
  throw new Error(`${record.value.kind} at ${record.offset} was refused`);
}

/** Numbers records as the log and their writer would. */
class RecordList {
  private offset = 0;

  create(body: Body): LoggedRecord<StateRecord> {
    const stamp = {
      vm: toVmId('gebze-a-entry-1'),
      incarnation: toIncarnationId('5b1f8ad2-50b1-4a8e-9c52-8a1f29a7c001'),
      seq: this.offset + 1,
    };
    const value = {...body, stamp} as StateRecord;
    return {offset: this.offset++, timeMs: 1_760_000_000_000, value};
  }
}

function createSession(): Body {
  return {kind: 'session', ttlMs: 6000};
}

function createStep(index: number): readonly Body[] {
  const lease = `step:trainer-${index}/step-${index}`;
  const starts: number[] = [];
  for (let first = 0; first < SAMPLES; first += BATCH) starts.push(first);
  return [
    createOpening(index),
    {kind: 'lease_claimed', lease},
    ...starts.map(first => createStarted(index, first, BATCH)),
    ...starts.map(first => createCommitted(index, first, BATCH)),
    createAcknowledged(index),
  ];
}

function nameStep(index: number) {
  return {
    tenant: toTenantId(`trainer-${index}`),
    step: toStepId(`step-${index}`),
  };
}

/** The claim stands right behind the opening, each step being whole in turn. */
function findFencing(index: number): number {
  const recordsPerStep = 3 + (2 * SAMPLES) / BATCH;
  return 2 + index * recordsPerStep;
}

function createOpening(index: number): Body {
  return {
    kind: 'step_opened',
    ...nameStep(index),
    digest: DIGEST,
    rule: 'rollouts',
    configVersion: 12,
    req: {
      model: 'hint-tutor',
      weightVersion: 3,
      maxStaleness: 4,
      timeoutMs: 600_000,
      groups: Array.from({length: GROUPS}, () => ({
        prompt: 'p'.repeat(PROMPT_CHARS),
        samples: SAMPLES_PER_GROUP,
        maxTokens: 2048,
      })),
    },
  };
}

function createStarted(index: number, first: number, count: number): Body {
  return {
    kind: 'attempts_started',
    ...nameStep(index),
    fencing: findFencing(index),
    attempts: listSamples(first, count).map(sample => ({
      ...sample,
      attempt: 1,
      endpoint: toEndpointId('gebze-a-worker-17'),
    })),
  };
}

function createCommitted(index: number, first: number, count: number): Body {
  return {
    kind: 'samples_committed',
    ...nameStep(index),
    fencing: findFencing(index),
    samples: listSamples(first, count).map(sample => ({
      ...sample,
      attempt: 1,
      endpoint: toEndpointId('gebze-a-worker-17'),
      spans: [{weightVersion: 3, tokens: 400}],
      digest: DIGEST,
    })),
  };
}

function createAcknowledged(index: number): Body {
  return {
    kind: 'cursor_acknowledged',
    ...nameStep(index),
    fencing: findFencing(index),
    cursor: SAMPLES,
    weightVersion: 4,
  };
}

function createClaim(index: number): Body {
  return {
    kind: 'request_claimed',
    tenant: toTenantId('lesson-app'),
    req: toRequestId(`5b1f8ad2-50b1-4a8e-9c52-${index}`),
  };
}

function listSamples(first: number, count: number) {
  return Array.from({length: count}, (_, i) => ({
    group: Math.floor((first + i) / SAMPLES_PER_GROUP),
    sample: (first + i) % SAMPLES_PER_GROUP,
  }));
}

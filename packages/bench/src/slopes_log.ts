/**
 * Measures the state derived from the log: bytes per record, processor time to fold
 * a record and memory of the folded state. Computes from these figures the appends
 * and bytes per second of a current and of a future deployment.
 */

import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {AuditChain} from '@radishyoke/core/audit/audit_chain';
import {ConfigHistory, NO_VERSION} from '@radishyoke/core/rules/config_history';
import {StateFold} from '@radishyoke/core/ledger/state_fold';
import {
  toEndpointId,
  toIncarnationId,
  toRequestId,
  toStepId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {
  ConfigRecord,
  LoggedRecord,
  SampleCommit,
  StateRecord,
} from '@radishyoke/shared/log_record';

/** Expected load of a deployment that affects the log. */
export interface LogLoad {
  readonly vms: number;
  readonly trainers: number;
  readonly samplesPerStep: number;
  readonly stepMs: number;
  readonly groupsPerStep: number;
  readonly promptChars: number;
  readonly configChangesPerDay: number;
  readonly configChars: number;
  readonly requestsPerSecond: number;
  /** Share of requests marked non-idempotent that carry a caller's request id. */
  readonly claimedShare: number;
  /** Appends per second that the deployment may make. */
  readonly appendsPerSecond: number;
}

/** The current size and the target size; the claimed shares are assumptions. */
export const LOG_LOADS: readonly LogLoad[] = [
  {
    vms: 13,
    trainers: 3,
    samplesPerStep: 512,
    stepMs: 300_000,
    groupsPerStep: 64,
    promptChars: 1000,
    configChangesPerDay: 100,
    configChars: 4000,
    requestsPerSecond: 100,
    claimedShare: 0.01,
    appendsPerSecond: 300,
  },
  {
    vms: 360,
    trainers: 8,
    samplesPerStep: 512,
    stepMs: 300_000,
    groupsPerStep: 64,
    promptChars: 1000,
    configChangesPerDay: 4100,
    configChars: 4000,
    requestsPerSecond: 3300,
    claimedShare: 0.001,
    appendsPerSecond: 300,
  },
];

/** One measured or derived figure and its unit. */
export interface LogSlope {
  readonly name: string;
  readonly unit: 'bytes' | 'us' | 'ms' | 'per_s' | 'bytes_per_s';
  readonly value: number;
}

const TENANT = toTenantId('tutor');
const TEAM = toTeamId('kodkutu');
const OWNER_VM = toVmId('gebze-a-01');
const INCARNATION = toIncarnationId('0193a1b2-c3d4');
const SESSION_RENEWAL_INTERVAL_S = 2;
const AUDIT_ANCHOR_INTERVAL_S = 60;
const MIN_AUDIT_FLUSH_S = 1;
const APPEND_INTERVALS_PER_AUDIT_FLUSH = 3;
const DIGEST = 'd'.repeat(64);
const FOLDED_STEPS = 40;
const FOLDED_CLAIMS = 50_000;
const FOLDED_VERSIONS = 2000;
const MS_PER_S = 1000;
const S_PER_DAY = 86_400;

type Unstamped<T> = T extends unknown ? Omit<T, 'stamp'> : never;
type StateBody = Unstamped<StateRecord>;

/** Measures all slopes; takes a few seconds. */
export function measureLogSlopes(): readonly LogSlope[] {
  const sizes = measureRecordBytes();
  return [
    ...sizes,
    ...measureFold(),
    ...measureMemory(),
    ...LOG_LOADS.flatMap(load => deriveRates(load, sizes)),
  ];
}

function measureRecordBytes(): readonly LogSlope[] {
  const bodies = createStepBodies(toStepId('step-000001'), 0);
  const bodyByKind = new Map(bodies.map(body => [body.kind, body]));
  const claim: StateBody = {
    kind: 'request_claimed',
    tenant: TENANT,
    req: toRequestId('0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b'),
  };
  const session: StateBody = {kind: 'session', ttlMs: 6000};
  const records = [...bodyByKind.values(), claim, session].map(body => ({
    name: `record ${body.kind}`,
    unit: 'bytes' as const,
    value: countBytes(toLogged(body, 1)),
  }));
  return [
    ...records,
    ...measureFurtherSamples(bodyByKind),
    {
      name: 'record config_published',
      unit: 'bytes',
      value: countBytes(createConfigRecord(0, NO_VERSION)),
    },
    {name: 'audit entry', unit: 'bytes', value: measureAuditEntry()},
  ];
}

/** Returns the bytes that each additional sample adds to a batched record. */
function measureFurtherSamples(
  bodyByKind: ReadonlyMap<string, StateBody>,
): readonly LogSlope[] {
  const started = bodyByKind.get('attempts_started');
  const committed = bodyByKind.get('samples_committed');
  if (started?.kind !== 'attempts_started') return [];
  if (committed?.kind !== 'samples_committed') return [];
  return [
    {
      name: 'further sample in attempts_started',
      unit: 'bytes',
      value: countBytes(started.attempts),
    },
    {
      name: 'further sample in samples_committed',
      unit: 'bytes',
      value: countBytes(committed.samples),
    },
  ];
}

function measureAuditEntry(): number {
  const entry = {
    kind: 'request' as const,
    atMs: 1_700_000_000_000,
    team: TEAM,
    tenant: TENANT,
    request: toRequestId('0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b'),
    rule: 'app-default',
    configVersion: 12_345,
    attempts: [
      {
        attempt: 1,
        endpoint: toEndpointId('gebze-a-app-1'),
        startedAtMs: 1_700_000_000_000,
        endedAtMs: 1_700_000_000_400,
        end: 'finished' as const,
        spans: [],
      },
    ],
    outcome: 'answered' as const,
  };
  const chain = new AuditChain('vm/incarnation');
  const [one, many] = [1, 101].map(count =>
    countBytes(
      chain.seal(
        Array.from({length: count}, () => entry),
        [],
      ),
    ),
  );
  return Math.round((many! - one!) / 100);
}

/** Creates all records of one step; each sample is committed and acknowledged separately. */
function createStepBodies(step: StateStep, fencing: number): StateBody[] {
  const owner = {tenant: TENANT, step, fencing};
  const [{groupsPerStep, samplesPerStep, promptChars}] = LOG_LOADS as [LogLoad];
  const perGroup = samplesPerStep / groupsPerStep;
  const bodies: StateBody[] = [
    {
      kind: 'step_opened',
      tenant: TENANT,
      step,
      digest: DIGEST,
      req: {
        model: 'tutor-7b',
        weightVersion: 1,
        maxStaleness: 2,
        timeoutMs: 600_000,
        groups: Array.from({length: groupsPerStep}, (_, i) => ({
          prompt: String(i).padEnd(promptChars, 'p'),
          samples: perGroup,
          maxTokens: 2048,
        })),
      },
      rule: 'rollouts',
      configVersion: 12_345,
    },
    {kind: 'lease_claimed', lease: `step:${TENANT}/${step}`},
  ];
  for (let i = 0; i < samplesPerStep; i++) {
    const position = {group: Math.floor(i / perGroup), sample: i % perGroup};
    bodies.push(
      {
        kind: 'attempts_started',
        ...owner,
        attempts: [
          {...position, attempt: 1, endpoint: toEndpointId('gebze-a-engine-1')},
        ],
      },
      {
        kind: 'samples_committed',
        ...owner,
        samples: [createSampleCommit(position)],
      },
      {
        kind: 'cursor_acknowledged',
        ...owner,
        cursor: i + 1,
        weightVersion: 12,
      },
    );
  }
  return bodies;
}

type StateStep = ReturnType<typeof toStepId>;

function createSampleCommit(position: {
  group: number;
  sample: number;
}): SampleCommit {
  return {
    ...position,
    attempt: 1,
    endpoint: toEndpointId('gebze-a-engine-1'),
    spans: [{weightVersion: 12, tokens: 400}],
    digest: DIGEST,
  };
}

function toLogged(body: StateBody, seq: number): LoggedRecord<StateRecord> {
  const stamp = {vm: OWNER_VM, incarnation: INCARNATION, seq};
  const value = {...body, stamp} as StateRecord;
  return {offset: seq - 1, timeMs: 1_700_000_000_000 + seq, value};
}

function createConfigRecord(
  offset: number,
  basedOn: number,
): LoggedRecord<ConfigRecord> {
  const [{configChars}] = LOG_LOADS as [LogLoad];
  const stamp = {vm: OWNER_VM, incarnation: INCARNATION, seq: offset + 1};
  return {
    offset,
    timeMs: 1_700_000_000_000 + offset,
    value: {
      kind: 'config_published',
      stamp,
      team: toTeamId(`team-${offset % 20}`),
      basedOn,
      author: 'operator',
      text: String(offset).padEnd(configChars, 'x'),
    },
  };
}

/** Measures the time to parse and fold records, as every reader does. */
function measureFold(): readonly LogSlope[] {
  const lines = createStateRecords().map(record => JSON.stringify(record));
  // The first pass lets the JIT compiler optimize the code.
  foldLines(lines);
  const before = process.cpuUsage();
  foldLines(lines);
  const {user, system} = process.cpuUsage(before);
  const value = round((user + system) / lines.length);
  return [{name: 'parse and fold one state record', unit: 'us', value}];
}

function createStateRecords(): Array<LoggedRecord<StateRecord>> {
  const records: Array<LoggedRecord<StateRecord>> = [];
  const add = (body: StateBody) =>
    records.push(toLogged(body, records.length + 1));
  for (let i = 0; i < FOLDED_STEPS; i++) {
    add({kind: 'session', ttlMs: 3_600_000});
    // The claim follows the opening record, and its offset is the fencing number.
    const fencing = records.length + 1;
    createStepBodies(toStepId(`step-${i}`), fencing).forEach(add);
  }
  return records;
}

function foldLines(lines: readonly string[]): StateFold {
  const fold = new StateFold();
  for (const line of lines) fold.apply(JSON.parse(line));
  return fold;
}

function measureMemory(): readonly LogSlope[] {
  const lines = createStateRecords().map(record => JSON.stringify(record));
  const step = measureHeap(() => foldLines(lines)) / FOLDED_STEPS;
  const claims = measureHeap(foldClaims) / FOLDED_CLAIMS;
  const versions = measureHeap(foldVersions);
  return [
    {name: 'memory of an open step', unit: 'bytes', value: round(step)},
    {name: 'memory of a request claim', unit: 'bytes', value: round(claims)},
    {
      name: 'memory of 20 teams with all kept versions',
      unit: 'bytes',
      value: round(versions),
    },
  ];
}

function foldClaims(): StateFold {
  const fold = new StateFold();
  for (let i = 0; i < FOLDED_CLAIMS; i++) {
    const req = toRequestId(`0193a1b2-c3d4-7e5f-8a9b-${i}`);
    const body: StateBody = {kind: 'request_claimed', tenant: TENANT, req};
    fold.apply(JSON.parse(JSON.stringify(toLogged(body, i + 1))));
  }
  return fold;
}

function foldVersions(): ConfigHistory {
  const history = new ConfigHistory(() => undefined);
  for (let i = 0; i < FOLDED_VERSIONS; i++) {
    const basedOn = i < 20 ? NO_VERSION : i - 20;
    history.apply(JSON.parse(JSON.stringify(createConfigRecord(i, basedOn))));
  }
  return history;
}

/** Returns the bytes by which `build` grows the heap, measured after garbage collection. */
function measureHeap(build: () => unknown): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collect();
  const after = process.memoryUsage().heapUsed;
  return built === undefined ? 0 : after - before;
}

/** Derives a deployment's rates, with records batched as the log writer does. */
function deriveRates(
  load: LogLoad,
  sizes: readonly LogSlope[],
): readonly LogSlope[] {
  const bytesOf = (name: string) =>
    sizes.find(size => size.name === name)?.value ?? 0;
  const stepsPerS = (load.trainers * MS_PER_S) / load.stepMs;
  const samplesPerS = stepsPerS * load.samplesPerStep;
  const claimsPerS = load.requestsPerSecond * load.claimedShare;
  const appendIntervalS = load.vms / load.appendsPerSecond;
  const owners = Math.min(load.trainers, load.vms);
  const recordsPerSample = 3;
  // An owner's records wait for its next append, which sends all of them.
  const ownerAppends = Math.min(
    1 / appendIntervalS,
    (samplesPerS * recordsPerSample) / owners + 1 / SESSION_RENEWAL_INTERVAL_S,
  );
  const auditFlushS = Math.max(
    MIN_AUDIT_FLUSH_S,
    appendIntervalS * APPEND_INTERVALS_PER_AUDIT_FLUSH,
  );
  const stateAppends =
    owners * ownerAppends + claimsPerS + load.vms / AUDIT_ANCHOR_INTERVAL_S;
  const appends = stateAppends + load.vms / auditFlushS;
  // Samples that arrive while an owner waits share one record per kind.
  const batchesPerS = Math.min(owners / appendIntervalS, samplesPerS);
  const batchedSamplesPerS = samplesPerS - batchesPerS;
  const stateBytes =
    stepsPerS * bytesOf('record step_opened') +
    batchesPerS *
      (bytesOf('record attempts_started') +
        bytesOf('record samples_committed') +
        bytesOf('record cursor_acknowledged')) +
    batchedSamplesPerS *
      (bytesOf('further sample in attempts_started') +
        bytesOf('further sample in samples_committed')) +
    claimsPerS * bytesOf('record request_claimed') +
    (owners / SESSION_RENEWAL_INTERVAL_S + load.vms / AUDIT_ANCHOR_INTERVAL_S) *
      bytesOf('record session');
  const configBytes =
    (load.configChangesPerDay / S_PER_DAY) * bytesOf('record config_published');
  const auditEntriesPerS = load.requestsPerSecond + samplesPerS;
  const auditBytes = (auditEntriesPerS / load.vms) * bytesOf('audit entry');
  const suffix = `at ${load.vms} VMs`;
  return [
    {name: `appends ${suffix}`, unit: 'per_s', value: round(appends)},
    {
      name: `longest wait of a record for its append ${suffix}`,
      unit: 'ms',
      value: round(appendIntervalS * MS_PER_S),
    },
    {
      name: `state and config read by each VM ${suffix}`,
      unit: 'bytes_per_s',
      value: round(stateBytes + configBytes),
    },
    {
      name: `audit written by each VM ${suffix}`,
      unit: 'bytes_per_s',
      value: round(auditBytes),
    },
  ];
}

function countBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}

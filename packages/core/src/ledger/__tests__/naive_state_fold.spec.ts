import {isDeepStrictEqual} from 'node:util';
import type {StateRecord} from '@radishyoke/shared/log_record';
import {toRequestId} from '@radishyoke/shared/ids';
import test from 'ava';
import fc from 'fast-check';
import {CheckpointAssembler, splitCheckpoint} from '../checkpoint.js';
import {StateFold} from '../state_fold.js';
import type {Verdict} from '../verdict.js';
import {
  commitSample,
  createStamp,
  openStep,
  RecordFixture,
  type StateBody,
  STEP,
  TENANT,
} from '../../simulation/log_fixtures.js';
import {
  judgeNaively,
  type NaiveVerdict,
} from '../../__tests__/naive_state_fold.js';

const CLAIM_HORIZON_MS = 4000;
const TTL_MS = 3000;
const VMS = ['a', 'b', 'c'] as const;
const LEASE = `step:${TENANT}/${STEP}`;

/** Generates one record: kind, writer, a number for its details, elapsed ms. */
const choiceArbitrary = fc.tuple(
  fc.nat(9),
  fc.nat(VMS.length - 1),
  fc.nat(40),
  fc.integer({min: -3000, max: 3000}),
);

function createBody(kind: number, detail: number): StateBody {
  const owner = {tenant: TENANT, step: STEP, fencing: detail};
  switch (kind) {
    case 0:
      return openStep(4);
    case 1:
    case 2:
      return {kind: 'session', ttlMs: TTL_MS};
    case 3:
      return detail % 4 === 0
        ? {kind: 'session_closed'}
        : {kind: 'lease_claimed', lease: LEASE};
    case 4:
      return {kind: 'lease_claimed', lease: LEASE};
    case 5:
      return {kind: 'lease_released', lease: LEASE, fencing: detail};
    case 6:
      return {
        kind: 'request_claimed',
        tenant: TENANT,
        req: toRequestId(`r${detail % 2}`),
      };
    case 9:
      return {
        kind: 'request_released',
        tenant: TENANT,
        req: toRequestId(`r${detail % 2}`),
      };
    case 7:
      return {kind: 'step_closed', ...owner, reason: 'complete'};
    default: {
      const samples = [detail % 4, (detail + 1) % 4];
      return {
        kind: 'samples_committed',
        ...owner,
        samples: samples.map(sample => commitSample(sample)),
      };
    }
  }
}

type Choice = readonly [number, number, number, number];

/**
 * Builds a stream in which some records are duplicated, as after a lost
 * response, and most owner records carry the current fencing number.
 */
function createStream(choices: readonly Choice[]): RecordFixture<StateRecord> {
  const stream = new RecordFixture<StateRecord>();
  const fold = new StateFold({claimHorizonMs: CLAIM_HORIZON_MS});
  let timeMs = 100_000;
  for (const [kind, writer, detail, elapsedMs] of choices) {
    timeMs += elapsedMs;
    const body = createBody(kind, detail);
    const fencing = fold.leases.find(LEASE)?.fencing;
    const usesCurrentFencing =
      'fencing' in body && detail % 4 !== 0 && fencing !== undefined;
    const record = stream.add(
      VMS[writer]!,
      usesCurrentFencing ? {...body, fencing} : body,
      timeMs,
    );
    fold.apply(record);
    if (detail % 8 !== 1) continue;
    const copied = stream.records[Math.max(0, record.offset - (detail % 3))]!;
    fold.apply(stream.append(copied.value, timeMs));
  }
  return stream;
}

function simplify(verdict: Verdict): NaiveVerdict {
  if (verdict.kind === 'void') return {accepted: false, gains: []};
  const {fencing, committed = []} = verdict;
  const gains = committed.map(sample => sample.cursor);
  return {accepted: true, gains: fencing === undefined ? gains : [fencing]};
}

test('the fold judges every record as the naive model does', t => {
  const details = fc.check(
    fc.property(
      fc.array(choiceArbitrary, {maxLength: 60, size: 'max'}),
      choices => {
        const {records} = createStream(choices);
        const fold = new StateFold({claimHorizonMs: CLAIM_HORIZON_MS});
        const verdicts = records.map(record => simplify(fold.apply(record)));
        return isDeepStrictEqual(
          verdicts,
          judgeNaively(records, CLAIM_HORIZON_MS),
        );
      },
    ),
    {seed: 3, numRuns: 500},
  );
  t.deepEqual(details.counterexample, null);
});

// Guards against a VM that starts from a checkpoint, reaches a different state
// and acts as a second owner of a step.
test('resuming the fold from a checkpoint at any offset gives the same state', t => {
  fc.assert(
    fc.property(
      fc.array(choiceArbitrary, {maxLength: 60, size: 'max'}),
      fc.nat(60),
      (choices, prefixLength) => {
        const {records} = createStream(choices);
        const cfg = {claimHorizonMs: CLAIM_HORIZON_MS};
        const fullFold = new StateFold(cfg);
        const prefix = records.slice(0, prefixLength);
        for (const record of prefix) fullFold.apply(record);
        const assembler = new CheckpointAssembler();
        const [checkpoint] = splitCheckpoint(
          fullFold.next,
          fullFold.toSnapshot(),
        )
          .map((part, offset) => {
            const value = {...part, stamp: createStamp('a', part.part + 1)};
            return assembler.add({offset, timeMs: 0, value});
          })
          .filter(found => found !== undefined);
        const restoredFold = new StateFold(cfg, JSON.parse(checkpoint!.text));
        for (const record of records.slice(prefixLength)) {
          t.deepEqual(restoredFold.apply(record), fullFold.apply(record));
        }
        t.deepEqual(restoredFold.toSnapshot(), fullFold.toSnapshot());
      },
    ),
    {seed: 4, numRuns: 300},
  );
});

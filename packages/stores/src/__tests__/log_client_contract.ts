/** Tests that every implementation of `LogClient` must pass, including under faults. */

import type {LogFault} from '@radishyoke/fakes/fake_log';
import type {FaultPlan} from '@radishyoke/fakes/fault_plan';
import test, {ExecutionContext} from 'ava';
import type {
  AppendResult,
  LogClient,
  LogQuery,
  LogRead,
} from '../log_client.js';
import {
  SHORT_TIMEOUT,
  LONG_TIMEOUT,
  TRANSPORT_FAULT_CASES,
  waitForNextTurn,
} from './transport_fault_cases.js';

/** A client connected to a fake log. */
export interface LogHarness {
  readonly client: LogClient;
  readonly faults: FaultPlan<LogFault>;
  close(): Promise<void>;
}

interface AppendCase {
  readonly name: string;
  readonly apply: (harness: LogHarness) => void;
  readonly usesShortTimeout?: boolean;
  readonly expected: AppendResult['kind'];
  /** Number of records stored afterwards; undefined if it may be either. */
  readonly records?: number;
}

function setFault(fault: LogFault): (harness: LogHarness) => void {
  return harness => harness.faults.set(fault);
}

const APPEND_CASES: readonly AppendCase[] = [
  {name: 'no fault', apply: () => {}, expected: 'appended', records: 1},
  {
    name: 'outage',
    apply: setFault({kind: 'outage'}),
    expected: 'refused',
    records: 0,
  },
  {
    name: 'over the append limit',
    apply: setFault({kind: 'append_limit', appendsPerSecond: 0.001}),
    expected: 'refused',
    records: 0,
  },
  {
    name: 'broken connections',
    apply: setFault({kind: 'unreachable'}),
    expected: 'unknown',
    records: 0,
  },
  {
    name: 'a lost answer',
    apply: setFault({kind: 'lose_answers', next: 1}),
    expected: 'unknown',
    records: 1,
  },
  {
    name: 'an answer after the timeout',
    apply: setFault({kind: 'delay', delayMs: 500}),
    usesShortTimeout: true,
    expected: 'unknown',
  },
  {
    name: 'open connections gone silent',
    apply: setFault({kind: 'silent', connections: 'open'}),
    usesShortTimeout: true,
    expected: 'unknown',
    records: 0,
  },
];

const FIRST_PAGE: LogQuery = {from: 0, max: 1000, waitMs: 0};

/** Registers the contract tests for one implementation. */
export function testLogClient(
  label: string,
  start: () => Promise<LogHarness>,
): void {
  const withHarness =
    (body: (t: ExecutionContext, harness: LogHarness) => Promise<void>) =>
    async (t: ExecutionContext) => {
      const harness = await start();
      t.teardown(harness.close);
      await body(t, harness);
    };

  for (const c of APPEND_CASES)
    test(
      `${label}: append, ${c.name}`,
      withHarness(async (t, harness) => {
        const {client, faults} = harness;
        // Opens a connection, which some of the faults require.
        await client.read('state', FIRST_PAGE, LONG_TIMEOUT);
        await waitForNextTurn();
        c.apply(harness);
        const options = c.usesShortTimeout ? SHORT_TIMEOUT : LONG_TIMEOUT;
        const result = await client.append('state', [{n: 1}], options);
        t.is(result.kind, c.expected);
        faults.clear();
        const storedBefore = await readValues(client, FIRST_PAGE);
        if (c.records !== undefined) t.is(storedBefore.length, c.records);
        const nextAppend = await appendWhenAllowed(client);
        t.like(nextAppend, {kind: 'appended', next: storedBefore.length + 1});
      }),
    );

  for (const c of TRANSPORT_FAULT_CASES)
    test(
      `${label}: read, ${c.name}`,
      withHarness(async (t, {client, faults}) => {
        await client.append('state', [{n: 1}], LONG_TIMEOUT);
        await waitForNextTurn();
        faults.set(c.fault);
        const options = c.timesOut ? SHORT_TIMEOUT : LONG_TIMEOUT;
        const result = await client.read('state', FIRST_PAGE, options);
        t.false(result.ok);
        t.is(!result.ok && result.error.kind, 'log_unavailable');
        faults.clear();
        t.deepEqual(await readValues(client, FIRST_PAGE), [{n: 1}]);
      }),
    );

  test(
    `${label}: a refusal over the limit has a retry delay`,
    withHarness(async (t, {client, faults}) => {
      faults.set({kind: 'append_limit', appendsPerSecond: 0.1});
      const result = await client.append('audit', [1], LONG_TIMEOUT);
      t.is(result.kind === 'refused' && result.error.retryAfterMs, 9_000);
    }),
  );

  test(
    `${label}: an append is stored completely, at consecutive offsets`,
    withHarness(async (t, {client}) => {
      const writers = Array.from({length: 20}, (_, w) => [`${w}a`, `${w}b`]);
      const results = await Promise.all(
        writers.map(values => client.append('state', values, LONG_TIMEOUT)),
      );
      const stored = await readValues(client, FIRST_PAGE);
      t.is(stored.length, 2 * writers.length);
      for (const [w, result] of results.entries()) {
        if (result.kind !== 'appended') return t.fail(result.kind);
        t.deepEqual(stored.slice(result.first, result.next), writers[w]);
      }
    }),
  );

  test(
    `${label}: consecutive pages have no gaps`,
    withHarness(async (t, {client}) => {
      const values = Array.from({length: 10}, (_, n) => ({n}));
      await client.append('config', values, LONG_TIMEOUT);
      const stored: unknown[] = [];
      for (;;) {
        const query = {from: stored.length, max: 3, waitMs: 0};
        const page = await readValues(client, query, 'config');
        if (page.length === 0) break;
        stored.push(...page);
      }
      t.deepEqual(stored, values);
      t.deepEqual(await readValues(client, FIRST_PAGE, 'audit'), []);
    }),
  );

  test(
    `${label}: a waiting read gets the next record`,
    withHarness(async (t, {client}) => {
      const query = {from: 0, max: 10, waitMs: LONG_TIMEOUT.timeoutMs};
      const read = readValues(client, query);
      await client.append('config', ['other stream'], LONG_TIMEOUT);
      await client.append('state', ['next'], LONG_TIMEOUT);
      t.deepEqual(await read, ['next']);
      t.deepEqual(await readValues(client, {from: 1, max: 10, waitMs: 10}), []);
    }),
  );

  test(
    `${label}: a read below the retained offsets returns the oldest offset`,
    withHarness(async (t, {client, faults}) => {
      faults.set({kind: 'retention', retainRecords: 2});
      await client.append('state', ['a', 'b', 'c'], LONG_TIMEOUT);
      const expired = await client.read('state', FIRST_PAGE, LONG_TIMEOUT);
      const value: LogRead = {kind: 'expired', oldest: 1};
      t.deepEqual(expired, {ok: true, value});
      const left = await readValues(client, {...FIRST_PAGE, from: 1});
      t.deepEqual(left, ['b', 'c']);
    }),
  );

  test(
    `${label}: closing aborts a waiting read`,
    withHarness(async (t, {client}) => {
      const query = {from: 0, max: 1, waitMs: LONG_TIMEOUT.timeoutMs};
      const read = client.read('state', query, LONG_TIMEOUT);
      await client.close();
      t.false((await read).ok);
    }),
  );
}

async function readValues(
  client: LogClient,
  query: LogQuery,
  stream: 'config' | 'state' | 'audit' = 'state',
): Promise<readonly unknown[]> {
  const result = await client.read(stream, query, LONG_TIMEOUT);
  if (!result.ok) throw new Error(result.error.detail);
  if (result.value.kind !== 'page') throw new Error('expired');
  return result.value.records.map(record => record.value);
}

async function appendWhenAllowed(client: LogClient): Promise<AppendResult> {
  for (;;) {
    const result = await client.append('state', [{n: 2}], LONG_TIMEOUT);
    if (result.kind !== 'refused') return result;
  }
}

import {startFakeLog} from '@radishyoke/fakes/fake_log';
import test from 'ava';
import {
  decodeAppendAnswer,
  decodeReadAnswer,
  HttpLogClient,
} from '../http_log_client.js';
import type {AppendResult} from '../log_client.js';
import {testLogClient} from './log_client_contract.js';
import {LONG_TIMEOUT} from './transport_fault_cases.js';

testLogClient('HttpLogClient', async () => {
  const log = await startFakeLog();
  const client = new HttpLogClient(log.address);
  const close = async () => {
    await client.close();
    await log.close();
  };
  return {client, faults: log.faults, close};
});

test('an append without a connection to the log is refused', async t => {
  const log = await startFakeLog();
  await log.close();
  const client = new HttpLogClient(log.address);
  t.is((await client.append('state', [1], LONG_TIMEOUT)).kind, 'refused');
  await client.close();
});

const createRecord = (offset: number) => ({offset, timeMs: 1, value: null});

const BROKEN_PAGES: ReadonlyArray<readonly [name: string, body: unknown]> = [
  ['no JSON', undefined],
  ['no records', {oldest: 0, next: 6}],
  ['a gap', {oldest: 0, next: 8, records: [createRecord(5), createRecord(7)]}],
  [
    'a record twice',
    {oldest: 0, next: 7, records: [createRecord(5), createRecord(5)]},
  ],
  [
    'another offset than requested',
    {oldest: 0, next: 5, records: [createRecord(4)]},
  ],
  ['next skips a record', {oldest: 0, next: 7, records: [createRecord(5)]}],
  ['a negative offset', {oldest: -1, next: 5, records: []}],
];

for (const [name, body] of BROKEN_PAGES)
  test(`an invalid page is refused completely: ${name}`, t => {
    const result = decodeReadAnswer({kind: 'answered', status: 200, body}, 5);
    t.false(result.ok);
  });

const APPEND_ANSWERS: ReadonlyArray<
  readonly [status: number, body: unknown, kind: AppendResult['kind']]
> = [
  [200, {first: 4, next: 6}, 'appended'],
  [200, {first: 4, next: 5}, 'unknown'],
  [200, undefined, 'unknown'],
  [204, undefined, 'unknown'],
  [400, {}, 'refused'],
  [429, {}, 'refused'],
  [500, {}, 'unknown'],
  [502, {}, 'unknown'],
  [503, {}, 'refused'],
  [504, {}, 'unknown'],
];

for (const [status, body, kind] of APPEND_ANSWERS)
  test(`an append answered ${status} ${JSON.stringify(body)} is ${kind}`, t => {
    const answer = {kind: 'answered' as const, status, body};
    t.is(decodeAppendAnswer(answer, 2).kind, kind);
  });

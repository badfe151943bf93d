import net from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import {parseJson, parseRetryAfter} from '../http_json.js';
import {
  decodeAppendAnswer,
  decodeReadAnswer,
  HttpLogClient,
} from '../http_log_client.js';
import {decodeVmList} from '../http_vm_list_client.js';
import {decodeVersions} from '../http_weight_store_client.js';
import {LONG_TIMEOUT} from './transport_fault_cases.js';

const PARAMETERS = {seed: 20_240_604, numRuns: 1000};

const bodyArb = fc.oneof(
  fc.anything(),
  fc.record({first: fc.integer(), next: fc.integer()}),
  fc.record({
    oldest: fc.oneof(fc.nat(9), fc.anything()),
    next: fc.oneof(fc.nat(9), fc.anything()),
    records: fc.array(
      fc.record({offset: fc.nat(9), timeMs: fc.nat(), value: fc.jsonValue()}),
      {maxLength: 4},
    ),
  }),
  fc.record({
    versions: fc.array(fc.record({version: fc.integer(), bytes: fc.nat()})),
  }),
);

const answerArb = fc.record({
  kind: fc.constant('answered' as const),
  status: fc.oneof(
    fc.constantFrom(200, 204, 400, 410, 429, 500, 502, 503),
    fc.integer(),
  ),
  body: bodyArb,
});

test('no response is decoded to a page with a gap or an append of another length', t => {
  fc.assert(
    fc.property(answerArb, fc.nat(9), (answer, from) => {
      const read = decodeReadAnswer(answer, from);
      if (read.ok && read.value.kind === 'page') {
        const {records, next} = read.value;
        t.true(records.every((record, i) => record.offset === from + i));
        t.is(next, from + records.length);
      }
      const append = decodeAppendAnswer(answer, from);
      const count =
        append.kind === 'appended' ? append.next - append.first : from;
      t.is(count, from);
    }),
    PARAMETERS,
  );
});

test('no response is decoded to unordered versions or a VM without an id', t => {
  fc.assert(
    fc.property(bodyArb, body => {
      const versions = decodeVersions(body);
      const numbers = versions.ok ? versions.value.map(v => v.version) : [];
      t.deepEqual(
        numbers,
        [...numbers].sort((a, b) => a - b),
      );
      const list = decodeVmList(body);
      t.true(!list.ok || list.value.vms.every(vm => vm.id.length > 0));
    }),
    PARAMETERS,
  );
});

test('headers and bodies of any text are read without throwing', t => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), text => {
      parseJson(text);
      const ms = parseRetryAfter(text);
      t.true(ms === undefined || (ms >= 0 && ms <= 3_600_000));
    }),
    PARAMETERS,
  );
});

/** Responses that a faulty server or one of another protocol may send. */
const BROKEN_ANSWERS: readonly string[] = [
  '',
  'no HTTP at all\r\n\r\n',
  'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"first":',
  'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{}',
  'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\xff\xfe{',
  `HTTP/1.1 200 OK\r\nx: ${'y'.repeat(100_000)}\r\n\r\n`,
];

// The server at the log's address may not be the log, or its response may be truncated.
// The client must neither throw nor wait forever, nor treat an append as refused that a
// log behind that server may have accepted.
for (const bytes of BROKEN_ANSWERS)
  test(`a broken answer is a failure: ${JSON.stringify(bytes.slice(0, 70))}`, async t => {
    const server = net.createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end(bytes, 'latin1'));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as net.AddressInfo;
    const client = new HttpLogClient(`127.0.0.1:${port}`);
    const query = {from: 0, max: 1, waitMs: 0};
    t.false((await client.read('state', query, LONG_TIMEOUT)).ok);
    t.is((await client.append('state', [1], LONG_TIMEOUT)).kind, 'unknown');
    await client.close();
    server.close();
  });

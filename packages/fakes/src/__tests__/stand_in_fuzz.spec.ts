import http from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {startFakeEngine} from '../fake_engine.js';
import {startFakeLog} from '../fake_log.js';
import {startFakeVmList} from '../fake_vm_list.js';
import {startFakeWeightStore} from '../fake_weight_store.js';
import type {HttpStandIn} from '../http_server.js';

const PARAMETERS = {seed: 20_240_606, numRuns: 300};

interface Call {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** Valid segments of the stand-ins' paths, and invalid ones. */
const segmentArb = fc.constantFrom(
  'streams',
  'state',
  'records',
  'vms',
  'models',
  'versions',
  'v1',
  'completions',
  'orders',
  'load',
  'cache',
  'events',
  'kv',
  '1',
  '-1',
  '99999999999999999999',
  '',
  '%',
  '%2F',
  '..',
  'x'.repeat(2000),
);

const queryArb = fc.constantFrom(
  '',
  '?from=0',
  '?from=-1',
  '?from=a&max=1',
  '?max=99999999999999999999',
  '?waitMs=x',
  '?&&=%',
);

const bodyArb = fc.oneof(
  fc.constantFrom('', '{', 'null', '[]', '{"records":[]}', '{"records":[1]}'),
  fc.json(),
  fc.string(),
);

const pathArb = fc.oneof(
  fc
    .tuple(fc.array(segmentArb, {maxLength: 5}), queryArb)
    .map(([segments, query]) => `/${segments.join('/')}${query}`),
  fc.constantFrom('//', '//[', '///?from=0', '/@:x'),
);

const callArb: fc.Arbitrary<Call> = fc.record({
  method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH'),
  path: pathArb,
  body: bodyArb,
});

/** Sends a call unchanged; `fetch` would normalize its path. */
function send(address: string, {method, path, body}: Call): Promise<number> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const headers = {'content-length': Buffer.byteLength(body)};
    const options = {host, port, method, path, headers, agent: false};
    const req = http.request(options, res => {
      res.resume();
      res.once('end', () => resolve(res.statusCode!));
    });
    req.once('error', reject);
    req.end(body);
  });
}

const STAND_INS: ReadonlyArray<
  readonly [name: string, start: () => Promise<HttpStandIn>]
> = [
  ['engine', startFakeEngine],
  ['log', startFakeLog],
  ['VM list', startFakeVmList],
  ['weight store', startFakeWeightStore],
];

for (const [name, start] of STAND_INS)
  test(`${name}: no call is answered 500, and the next one is served`, async t => {
    const standIn = await start();
    t.teardown(() => standIn.close());
    let refused = 0;
    await fc.assert(
      fc.asyncProperty(callArb, async call => {
        const status = await send(standIn.address, call);
        if (status >= 400) refused++;
        t.true(status < 500, `${call.method} ${call.path} ${status}`);
      }),
      PARAMETERS,
    );
    t.true(refused > 0);
  });

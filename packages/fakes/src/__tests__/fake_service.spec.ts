import {loadReportSchema} from '@radishyoke/shared/endpoint';
import {HEADERS} from '@radishyoke/shared/header';
import test from 'ava';
import {ServiceFault, startFakeService} from '../fake_service.js';

interface FaultCase {
  readonly name: string;
  readonly fault?: ServiceFault;
  readonly timeoutMs?: number;
  /** Undefined if no answer comes. */
  readonly status?: number;
  /** How often the call ran, which the service must count. */
  readonly calls: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  {name: 'no fault', status: 200, calls: 1},
  {name: 'slow', fault: {kind: 'slow', factor: 3}, status: 200, calls: 1},
  {name: 'outage', fault: {kind: 'outage'}, status: 503, calls: 0},
  {name: 'broken connections', fault: {kind: 'unreachable'}, calls: 0},
  {name: 'a lost answer', fault: {kind: 'lose_answers', next: 1}, calls: 1},
  {
    name: 'silent connections',
    fault: {kind: 'silent', connections: 'all'},
    timeoutMs: 100,
    calls: 0,
  },
  {name: 'failed calls', fault: {kind: 'fail_calls'}, status: 500, calls: 1},
];

for (const c of FAULT_CASES)
  test(`a call is answered and counted, ${c.name}`, async t => {
    const service = await startFakeService({serviceTimeMs: 5});
    t.teardown(service.close);
    const url = `http://${service.address}/notes?farm=3`;
    if (c.fault) service.faults.set(c.fault);
    const call = () =>
      fetch(url, {
        method: 'POST',
        body: 'note',
        headers: {[HEADERS.requestId]: 'n1'},
        signal: c.timeoutMs ? AbortSignal.timeout(c.timeoutMs) : undefined,
      });
    const res = await call().catch(() => undefined);
    t.is(res?.status, c.status);
    t.is(service.countCalls('n1'), c.calls);
    if (res?.ok)
      t.like(await res.json(), {path: '/notes?farm=3', bodyBytes: 4});
  });

test('load is reported in the format of engines', async t => {
  const service = await startFakeService();
  t.teardown(service.close);
  service.faults.set({kind: 'leaving'});
  await fetch(`http://${service.address}/x`);
  const load = await (await fetch(`http://${service.address}/load`)).json();
  t.like(loadReportSchema.parse(load), {running: 0, leaving: true});
});

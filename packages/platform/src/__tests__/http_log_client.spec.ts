import {startFakeLog} from '@radishyoke/fakes/fake_log';
import test from 'ava';
import {HttpLogClient} from '../http_log_client.js';

const OPTIONS = {timeoutMs: 2000};

// An append takes effect and its answer is lost.
// 1. The log takes the record, then the connection breaks.
// 2. The writer can not tell whether the record stands.
// Taking that for a refusal would append it a second time.
test('a lost answer is neither appended nor refused', async t => {
  const log = await startFakeLog();
  const client = new HttpLogClient(log.address);
  log.faults.set({kind: 'lose_answers', next: 1});
  const lost = await client.append('state', [{n: 1}], OPTIONS);
  t.is(lost.kind, 'unknown');
  const read = await client.read(
    'state',
    {from: 0, max: 10, waitMs: 0},
    OPTIONS,
  );
  t.true(read.ok && read.value.kind === 'page' && read.value.next === 1);
  const again = await client.append('state', [{n: 2}], OPTIONS);
  t.like(again, {kind: 'appended', first: 1, next: 2});
  await client.close();
  await log.close();
});

import type {AuditBlock} from '@radishyoke/core/audit/audit_chain';
import {concernsSubject} from '@radishyoke/core/audit/audit_entry';
import {AuditExporter, verifyExport} from '@radishyoke/core/audit/audit_export';
import {HEADERS} from '@radishyoke/shared/header';
import {toStepId} from '@radishyoke/shared/ids';
import type {LoggedRecord} from '@radishyoke/shared/log_record';
import test from 'ava';
import {
  createStepRequest,
  Deployment,
  startDeployment,
} from './deployment_fixture.js';

const STEP = toStepId('step-1');
const DRAIN_MS = 5000;

function readAudit(
  deployment: Deployment,
): ReadonlyArray<LoggedRecord<AuditBlock>> {
  const {log} = deployment.standIns;
  const answer = log.model.read('audit', 0, 1000, Date.now());
  if (answer.kind !== 'records') return [];
  return answer.records as Array<LoggedRecord<AuditBlock>>;
}

// Guards against an audit that has no entry for a rollout, or names other
// weights than those that generated what the trainer received.
test('the audit of a step is complete and names what the trainer received', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const received = new Map<string, number>();
  const client = deployment.createClient();
  await client.runStep({
    step: STEP,
    req: createStepRequest(2),
    readWeightVersion: () => 1,
    onRollout: ({id, spans}) => {
      received.set(id, spans.at(-1)!.weightVersion);
    },
  });
  await client.close();
  await deployment.vms[0]!.drain(DRAIN_MS);
  const records = readAudit(deployment);
  const exporter = new AuditExporter();
  const lines = [exporter.begin(0), ...records.map(r => exporter.add(r))];
  const report = verifyExport([...lines, exporter.end()]);
  t.deepEqual(report.faults, []);
  t.deepEqual(report.unclosed, []);
  const entries = records.flatMap(record => record.value.entries);
  t.true(received.size > 0);
  for (const [id, weightVersion] of received) {
    const [entry, ...more] = entries.filter(e => concernsSubject(e, id));
    t.deepEqual(more, []);
    if (entry?.kind !== 'rollout') return t.fail(`no entry for ${id}`);
    const winner = entry.attempts.find(a => a.end === 'finished');
    t.is(winner?.spans.at(-1)?.weightVersion, weightVersion);
    t.true(entry.configVersion >= 0 && entry.rule !== '');
  }
});

// Guards against an audit that shows one attempt for a request that had two,
// because only the last one is stored. One endpoint can not be reached, so some
// requests are sent to it first and then to the other one.
test('the audit of a request names every attempt and how it ended', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const [down] = [...deployment.standIns.services.values()];
  down.faults.set({kind: 'unreachable'});
  const requests = Array.from({length: 12}, (_, i) => `lesson-${i}`);
  for (const id of requests) {
    const res = await fetch(`${deployment.origins[0]}/lessons/${id}`, {
      headers: {[HEADERS.tenant]: 'notebook', [HEADERS.requestId]: id},
    });
    t.is(res.status, 200);
  }
  await deployment.vms[0]!.drain(DRAIN_MS);
  const entries = readAudit(deployment)
    .flatMap(record => record.value.entries)
    .filter(entry => entry.kind === 'request');
  t.is(entries.length, requests.length);
  const ends = entries.map(entry => entry.attempts.map(a => a.end));
  t.true(ends.every(list => list.at(-1) === 'finished'));
  const retried = ends.filter(list => list.length > 1);
  t.true(retried.length > 0);
  t.true(retried.every(list => list[0] !== 'finished'));
});

// Guards against an audit that does not say how an attempt ended whose engine
// crashed, only that another attempt won. An engine crashes while it runs
// several samples, and other engines continue them. The log alone does not
// suffice for the entry, since it records only how the winner ended.
test('the audit of a rollout names how the losing attempts ended', async t => {
  const deployment = await startDeployment(1);
  t.teardown(() => deployment.close());
  const [engine] = deployment.standIns.engines.values();
  engine.faults.set({kind: 'crash_after_tokens', tokens: 150});
  const client = deployment.createClient();
  await client.runStep({
    step: STEP,
    req: createStepRequest(6),
    readWeightVersion: () => 1,
    onRollout: () => undefined,
  });
  await client.close();
  await deployment.vms[0]!.drain(DRAIN_MS);
  const entries = readAudit(deployment)
    .flatMap(record => record.value.entries)
    .filter(entry => entry.kind === 'rollout');
  const lost = entries
    .flatMap(entry => entry.attempts)
    .filter(({end}) => end !== 'finished');
  t.true(lost.length > 0);
  for (const {startedAtMs, endedAtMs, end} of lost) {
    t.not(end, 'superseded');
    t.true(endedAtMs! >= startedAtMs!);
  }
});

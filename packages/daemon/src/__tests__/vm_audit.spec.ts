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

// An auditor asks which weights and which rule made a rollout, and the audit has
// no entry of it, or one that names another text than the trainer got.
test('the audit of a step names what the trainer got, and is whole', async t => {
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
    if (entry?.kind !== 'rollout') return t.fail(`no entry of ${id}`);
    const winner = entry.attempts.find(a => a.end === 'finished');
    t.is(winner?.spans.at(-1)?.weightVersion, weightVersion);
    t.true(entry.configVersion >= 0 && entry.rule !== '');
  }
});

// An auditor sees one attempt where a request was tried at two endpoints.
// 1. The first endpoint is not reached; the request goes to the other.
// Cause: only the last attempt was kept.
test('the audit of a request names every attempt and its end', async t => {
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

// An auditor asks what became of an attempt whose engine crashed, and reads only
// that another one won.
// 1. An engine crashes with several samples on it; they go on elsewhere.
// Cause: the entry was made from the log, which has the winner's end alone.
test('the audit of a rollout names the end of the attempts that lost', async t => {
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

import type {AuditBlock} from '@radishyoke/core/audit/audit_chain';
import type {AuditEntry} from '@radishyoke/core/audit/audit_entry';
import {AuditExporter, verifyExport} from '@radishyoke/core/audit/audit_export';
import {DEFAULT_CLAIM_HORIZON_MS} from '@radishyoke/core/ledger/state_fold';
import {type FakeLog, startFakeLog} from '@radishyoke/fakes/fake_log';
import {HttpLogClient} from '@radishyoke/stores/http_log_client';
import {
  toIncarnationId,
  toRequestId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {LoggedRecord} from '@radishyoke/shared/log_record';
import test, {type ExecutionContext} from 'ava';
import {AuditTask} from '../audit_task.js';
import {LogTask} from '../../log/log_task.js';
import {DEFAULT_SESSION_TIMING} from '../../log/session_tracker.js';

function startTasks(t: ExecutionContext, fake: FakeLog, vm: string) {
  const client = new HttpLogClient(fake.address);
  const writer = {vm: toVmId(vm), incarnation: toIncarnationId(`${vm}-1`)};
  const log = new LogTask(client, {
    ...writer,
    session: DEFAULT_SESSION_TIMING,
    deploymentAppendsPerSecond: 300,
    claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS,
    logRetentionMs: 3_600_000,
    checkConfig: () => undefined,
  });
  const audit = new AuditTask(client, log, {...writer, maxWaiting: 4});
  audit.start();
  log.start();
  t.teardown(async () => {
    audit.stop();
    log.stop();
    await client.close();
  });
  return {audit, log};
}

function createEntry(request: string): AuditEntry {
  return {
    kind: 'request',
    atMs: 1,
    team: toTeamId('k'),
    tenant: toTenantId('app'),
    request: toRequestId(request),
    rule: 'all',
    configVersion: 0,
    attempts: [],
    outcome: 'answered',
  };
}

function exportAudit(fake: FakeLog): string[] {
  const answer = fake.model.read('audit', 0, 1000, Date.now());
  const records = answer.kind === 'records' ? answer.records : [];
  const exporter = new AuditExporter();
  const lines = [exporter.begin(0)];
  for (const record of records) {
    lines.push(exporter.add(record as LoggedRecord<AuditBlock>));
  }
  return [...lines, exporter.end()];
}

// Guards against an audit that verifies although entries are missing without a
// trace. The log is down for longer than the VM can buffer entries, so some are
// dropped; append answers are lost when the log comes back.
test('a full buffer shows as a gap in a valid chain', async t => {
  const fake = await startFakeLog();
  t.teardown(() => fake.close());
  const {audit} = startTasks(t, fake, 'a');
  for (let i = 0; i < 6; i++) audit.record(createEntry(`r${i}`));
  t.deepEqual(audit.status, {waiting: 4, dropped: 2});
  fake.faults.set({kind: 'lose_answers', next: 2});
  await audit.closeChain();
  const report = verifyExport(exportAudit(fake));
  t.deepEqual(report.faults, []);
  t.is(report.dropped, 2);
  t.is(report.entries, 4 + 2, 'four requests, the gap and the end');
  t.deepEqual(report.unclosed, []);
});

test("a VM includes the heads of other VMs' chains in its own", async t => {
  const fake = await startFakeLog();
  t.teardown(() => fake.close());
  const [a, b] = [startTasks(t, fake, 'a'), startTasks(t, fake, 'b')];
  const anchored = b.log.changes
    .filter(change => change.kind === 'state')
    .take(1)
    .drain();
  a.audit.record(createEntry('r1'));
  await a.audit.closeChain();
  await anchored;
  b.audit.record(createEntry('r2'));
  await b.audit.closeChain();
  const lines = exportAudit(fake);
  t.deepEqual(verifyExport(lines).faults, []);
  t.true(lines.some(line => line.includes('"witnessed":[{"writer":"a/a-1"')));
});

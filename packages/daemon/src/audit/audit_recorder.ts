/**
 * Creates audit entries for the requests, rollouts and configurations of this
 * VM.
 */

import type {
  AuditAttempt,
  AuditEntry,
} from '@radishyoke/core/audit/audit_entry';
import type {ConfigVersion} from '@radishyoke/core/rules/config_history';
import {computeDigest} from '@radishyoke/core/ledger/digest';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import {buildSampleKey, SampleRef} from '@radishyoke/core/steps/step_message';
import {toTeamId, type TeamId, type TenantId} from '@radishyoke/shared/ids';
import type {
  CommittedSample,
  LoggedRecord,
  StateRecord,
} from '@radishyoke/shared/log_record';
import type {AppRecord} from '../apps/app_api.js';
import type {EndedSampleAttempt} from '../steps/sample_runner.js';
import type {LogChange, LogTask} from '../log/log_task.js';

export interface AuditRecorderOptions {
  readonly log: LogTask;
  readonly findTeam: (tenant: TenantId) => TeamId | undefined;
  readonly record: (entry: AuditEntry) => void;
}

type CommitRecord = Extract<StateRecord, {kind: 'samples_committed'}>;

/** One instance per VM. */
export class AuditRecorder {
  /** Attempts of samples without a committed winner, by step and sample key. */
  private readonly attempts = new Map<string, Map<string, AuditAttempt[]>>();

  constructor(private readonly options: AuditRecorderOptions) {}

  start(): void {
    void this.options.log.changes.observe(change => this.onLogChange(change));
  }

  /** Stores the attempts of a sample until the log has its winner. */
  recordAttempts(
    {key}: StepLedger,
    ref: SampleRef,
    attempts: readonly EndedSampleAttempt[],
  ): void {
    const step = this.attempts.get(key) ?? new Map<string, AuditAttempt[]>();
    this.attempts.set(key, step);
    const sample = buildSampleKey(ref);
    step.set(sample, [...(step.get(sample) ?? []), ...attempts]);
  }

  /** Drops the attempts of a step that closed or moved to another VM. */
  forgetStep({key}: StepLedger): void {
    this.attempts.delete(key);
  }

  /** Records an app request that ended. */
  recordRequest({caller, requestId, route, end}: AppRecord): void {
    this.options.record({
      kind: 'request',
      atMs: Date.now(),
      team: caller.team,
      tenant: caller.tenant,
      request: requestId,
      rule: route.rule,
      configVersion: route.configVersion,
      attempts: end.attempts.map(attempt => ({...attempt, spans: []})),
      outcome: end.error?.kind ?? 'answered',
    });
  }

  private onLogChange(change: LogChange): void {
    if (change.kind === 'config') return this.recordConfig(change);
    if (change.kind !== 'state') return;
    const {record, verdict} = change.judged;
    if (verdict.kind !== 'accepted' || verdict.committed === undefined) return;
    if (!this.options.log.isOwn(record.value.stamp)) return;
    if (record.value.kind !== 'samples_committed') return;
    this.recordCommits(record as LoggedRecord<CommitRecord>, verdict.committed);
  }

  private recordConfig({outcome}: Extract<LogChange, {kind: 'config'}>): void {
    if (outcome.kind !== 'accepted') return;
    const version = this.findVersion(outcome.version);
    if (version === undefined) return;
    const {team, basedOn, author, text} = version;
    this.options.record({
      kind: 'config',
      atMs: Date.now(),
      team,
      version: version.version,
      basedOn,
      author,
      digest: computeDigest(text),
    });
  }

  private findVersion(offset: number): ConfigVersion | undefined {
    const {config} = this.options.log;
    return config
      .listTeams()
      .map(team => config.current(team))
      .find(current => current?.version === offset);
  }

  private recordCommits(
    {value}: LoggedRecord<CommitRecord>,
    committed: readonly CommittedSample[],
  ): void {
    const {log, findTeam, record} = this.options;
    const ledger = log.state.findStep(value.tenant, value.step);
    if (ledger === undefined) return;
    const {rule, configVersion} = ledger.opening;
    for (const winner of committed) {
      const {group, sample, cursor, digest, shortfall} = winner;
      record({
        kind: 'rollout',
        atMs: Date.now(),
        team: findTeam(value.tenant) ?? toTeamId(''),
        tenant: value.tenant,
        step: value.step,
        group,
        sample,
        cursor,
        fencing: value.fencing,
        rule,
        configVersion,
        attempts: this.takeAttempts(ledger, winner),
        outcome: shortfall ?? 'committed',
        digest,
      });
    }
  }

  /** Merges this VM's attempts with those of earlier owners from the log. */
  private takeAttempts(
    ledger: StepLedger,
    winner: CommittedSample,
  ): readonly AuditAttempt[] {
    const step = this.attempts.get(ledger.key);
    const observed = step?.get(buildSampleKey(winner)) ?? [];
    step?.delete(buildSampleKey(winner));
    const logged = listLoggedAttempts(ledger, winner).filter(
      ({attempt}) => !observed.some(entry => entry.attempt === attempt),
    );
    return [...logged, ...observed].sort((a, b) => a.attempt - b.attempt);
  }
}

/** The attempts in the log, which contains spans for the winner only. */
function listLoggedAttempts(
  ledger: StepLedger,
  winner: CommittedSample,
): readonly AuditAttempt[] {
  const {group, sample, attempt: winningAttempt, shortfall} = winner;
  return ledger.listAttempts(group, sample).map(({attempt, endpoint}) => {
    const isWinner = attempt === winningAttempt && shortfall === undefined;
    return {
      attempt,
      endpoint,
      end: isWinner ? 'finished' : 'superseded',
      spans: isWinner ? winner.spans : [],
    };
  });
}

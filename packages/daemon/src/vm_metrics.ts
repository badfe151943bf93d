/**
 * Records what happens on a VM in its metrics and keeps recent requests for dry
 * runs of rules.
 */

import {RequestRecorder} from '@radishyoke/core/audit/recorded_request';
import {MetricRegistry} from '@radishyoke/core/metrics/metrics';
import type {RuleFacts} from '@radishyoke/core/rules/rule';
import type {SampleOutput} from '@radishyoke/core/steps/step_message';
import type {StepLedger} from '@radishyoke/core/steps/step_ledger';
import type {Result} from '@radishyoke/shared/result';
import {measureStaleness} from '@radishyoke/shared/rollout';
import type {AppRecord} from './apps/app_api.js';
import type {AttemptStart, FirstOutput} from './scheduling/dispatcher.js';
import type {Route} from './rule_registry.js';
import type {StepEnd} from './steps/step_task.js';

const FIRST_ATTEMPT = 1;

/** One instance per VM. */
export class VmMetrics {
  readonly registry = new MetricRegistry();
  readonly recorder = new RequestRecorder();

  /** Time for which the trainer of each step has waited for rollouts, ms. */
  private readonly idleMsByStep = new Map<string, number>();

  /** Records the result of a rule lookup. */
  recordRoute(facts: RuleFacts, route: Result<Route>): void {
    const {tenant, workClass = 'interactive'} = facts;
    this.recorder.record(facts, Date.now());
    if (route.ok) {
      const {rule} = route.value;
      this.registry.addCount('decisions', tenant, workClass, rule);
    } else {
      const {kind} = route.error;
      this.registry.addCount('refusals', tenant, workClass, kind);
    }
  }

  recordStart({item, attempt, waitedMs}: AttemptStart): void {
    const {tenant, workClass} = item;
    if (attempt === FIRST_ATTEMPT) {
      this.registry.recordValue('queue_wait', tenant, workClass, waitedMs);
    } else {
      this.registry.addCount('retries', tenant, workClass, 'attempt');
    }
  }

  recordFirstOutput({item, elapsedMs}: FirstOutput): void {
    const {tenant, workClass} = item;
    this.registry.recordValue(
      'time_to_first_token',
      tenant,
      workClass,
      elapsedMs,
    );
  }

  recordApp({caller, route, end, durationMs}: AppRecord): void {
    const {tenant} = caller;
    const workClass = route.action.workClass ?? 'interactive';
    this.registry.recordValue('duration', tenant, workClass, durationMs);
    if (!end.error) return;
    this.registry.addCount('refusals', tenant, workClass, end.error.kind);
  }

  recordSettled(ledger: StepLedger, {spans}: SampleOutput): void {
    const staleness = measureStaleness(spans, ledger.trainerVersion);
    const {tenant} = ledger.opening;
    this.registry.recordValue('staleness', tenant, 'rollout', staleness);
  }

  recordWasted(ledger: StepLedger, tokens: number): void {
    const {tenant} = ledger.opening;
    this.registry.addCount('wasted_tokens', tenant, 'rollout', 'step', tokens);
  }

  /**
   * Adds `intervalMs` of idle time to each step whose trainer is waiting;
   * called once per interval.
   */
  sampleTrainerIdle(ledgers: readonly StepLedger[], intervalMs: number): void {
    for (const {key, acknowledged, lastCursor} of ledgers) {
      if (acknowledged < lastCursor) continue;
      this.idleMsByStep.set(
        key,
        (this.idleMsByStep.get(key) ?? 0) + intervalMs,
      );
    }
  }

  /**
   * Records a step that ended at this VM. `logNowMs` is log time, as is the
   * step's `openedAtMs`.
   */
  recordStepEnd(ledger: StepLedger, end: StepEnd, logNowMs: number): void {
    const idleMs = this.idleMsByStep.get(ledger.key) ?? 0;
    this.idleMsByStep.delete(ledger.key);
    if (end === 'lost' || end === 'left') return;
    const {tenant, openedAtMs} = ledger.opening;
    this.registry.recordValue('trainer_idle', tenant, 'rollout', idleMs);
    const durationMs = logNowMs - openedAtMs;
    this.registry.recordValue('step_duration', tenant, 'rollout', durationMs);
  }
}

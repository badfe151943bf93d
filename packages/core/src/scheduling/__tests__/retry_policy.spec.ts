import test from 'ava';
import {toEndpointId, toTenantId} from '@radishyoke/shared/ids';
import type {FailureKind} from '../failure.js';
import {findRetryRule, RETRY_TABLE, RetryBudget} from '../retry_policy.js';

const FAILURES = Object.keys(RETRY_TABLE) as FailureKind[];
const BOTH = [false, true];

test('no case of the table repeats a request that may not run again', t => {
  for (const failure of FAILURES) {
    for (const idempotent of BOTH) {
      for (const sent of BOTH) {
        for (const tokens of [0, 7]) {
          const {action} = findRetryRule(failure, idempotent, sent, tokens);
          const label = `${failure} ${idempotent} ${sent} ${tokens}`;
          const mayRepeat = idempotent || !sent;
          if (!mayRepeat) t.is(action, 'give_up', label);
          else if (failure === 'client_error') t.is(action, 'give_up', label);
          else t.not(action, 'give_up', label);
          const hasUsableOutput = sent && tokens > 0 && failure !== 'stale';
          if (!hasUsableOutput) t.not(action, 'resume', label);
        }
      }
    }
  }
});

// Guards against a retry storm: 10,000 attempts fail within one second and each
// failure would start another attempt, which slows the endpoints down further.
test('immediate retries are bounded however many attempts fail', t => {
  const budget = new RetryBudget();
  const tenant = toTenantId('trainer-1');
  const endpoint = toEndpointId('a');
  const starts = 1000;
  for (let i = 0; i < starts; i++) budget.recordStart(tenant, endpoint);
  let allowed = 0;
  for (let i = 0; i < 10_000; i++) {
    if (budget.takeRetry(tenant, endpoint, i / 10) === 0) allowed++;
  }
  t.true(allowed > 100, `${allowed} retries`);
  t.true(allowed < starts * 0.25, `${allowed} retries`);
  t.true(budget.takeRetry(tenant, endpoint, 1000) > 0);
  t.is(budget.takeRetry(tenant, endpoint, 60_000), 0);
});

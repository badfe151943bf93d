import test from 'ava';
import fc from 'fast-check';
import {
  MAX_TENANT_SERIES,
  MetricRegistry,
  OVERFLOW_SERIES,
} from '../metrics.js';
import {renderMetricsText} from '../metrics_text.js';

const SEED = 20261202;

function createRegistry(values: readonly number[]): MetricRegistry {
  const registry = new MetricRegistry();
  for (const value of values) {
    registry.recordValue('duration', 'app', 'interactive', value);
  }
  return registry;
}

// Guards against averaging percentiles instead of merging histograms: if ten VMs
// each report a p99 and one of them has nearly all the requests, the mean of the
// ten is a value that no request had.
test('percentiles of merged VMs equal those of all values combined', t => {
  const values = fc.array(fc.integer({min: 0, max: 4_000_000}), {
    maxLength: 60,
  });
  const property = fc.property(fc.array(values, {maxLength: 5}), vms => {
    const merged = new MetricRegistry();
    for (const vm of vms) {
      if (!merged.merge(createRegistry(vm).encode()).ok) return false;
    }
    const together = createRegistry(vms.flat()).summarize('duration');
    t.deepEqual(merged.summarize('duration'), together);
    return true;
  });
  t.notThrows(() => fc.assert(property, {seed: SEED, numRuns: 200}));
});

// Guards against memory that grows without load, because a caller sends a new
// tenant name with each request and each tenant gets its own series.
test('tenants beyond the limit share one series', t => {
  const registry = new MetricRegistry();
  for (let i = 0; i < 10_000; i++) {
    registry.recordValue('duration', `tenant-${i}`, 'rollout', 1);
    registry.addCount('refusals', 'tenant-0', 'rollout', `kind-${i}`);
  }
  t.is(registry.listHistograms().length, MAX_TENANT_SERIES + 1);
  const other = registry.summarize(
    'duration',
    s => s.tenant === OVERFLOW_SERIES,
  );
  t.is(other.count, 10_000 - MAX_TENANT_SERIES);
  t.true(registry.listCounters().length < 200);
});

test('an undecodable histogram from another VM is rejected and changes nothing', t => {
  const registry = createRegistry([1]);
  const encoded = createRegistry([2]).encode();
  for (const text of [
    '',
    'AAAA',
    '%%%',
    encoded.series[0].encoded.slice(0, 20),
  ]) {
    const series = [...encoded.series, {...encoded.series[0], encoded: text}];
    t.false(registry.merge({...encoded, series}).ok, text);
  }
  t.is(registry.summarize('duration').count, 1);
});

test('the rendered text has cumulative buckets and escaped labels', t => {
  const registry = createRegistry([3, 40, 7200]);
  registry.addCount('decisions', 'app', 'interactive', 'say "hi"\n');
  registry.recordValue('duration', 'trainer-1', 'rollout', 1);
  const text = renderMetricsText(registry, ({tenant}) => tenant === 'app');
  const labels = 'tenant="app",class="interactive"';
  for (const line of [
    '# TYPE radishyoke_duration_seconds histogram',
    `radishyoke_duration_seconds_bucket{${labels},le="0.002"} 0`,
    `radishyoke_duration_seconds_bucket{${labels},le="0.05"} 2`,
    `radishyoke_duration_seconds_bucket{${labels},le="+Inf"} 3`,
    `radishyoke_duration_seconds_count{${labels}} 3`,
    `radishyoke_decisions_total{${labels},rule="say \\"hi\\"\\n"} 1`,
  ]) {
    t.true(text.split('\n').includes(line), line);
  }
  t.false(text.includes('trainer-1'));
});

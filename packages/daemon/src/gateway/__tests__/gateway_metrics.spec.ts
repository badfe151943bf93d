import test from 'ava';
import {GatewayMetrics} from '../gateway_metrics.js';

test('results are counted and timed by family and label', t => {
  const metrics = new GatewayMetrics();
  metrics.recordResult('requests', 'r-1', '200', 12);
  metrics.recordResult('requests', 'r-1', '200', 14);
  metrics.recordResult('store_calls', 'append', 'refused', 3);
  metrics.count('refused_not_found');
  metrics.registerGauge('endpoints', () => 4);
  const lines = metrics.render().split('\n');
  t.true(
    lines.includes('radishyoke_requests_total{route="r-1",result="200"} 2'),
  );
  t.true(
    lines.includes(
      'radishyoke_store_calls_total{call="append",result="refused"} 1',
    ),
  );
  t.true(lines.includes('radishyoke_refused_not_found_total 1'));
  t.true(lines.includes('radishyoke_endpoints 4'));
  t.true(
    lines.some(line =>
      line.startsWith('radishyoke_store_call_ms{call="append",quantile="0.5"}'),
    ),
  );
});

// Guards against a VM that runs out of memory after many changes of its rules:
// each new rule name keeps a histogram until the process restarts.
test('the number of series is limited, and results of further series are counted as dropped', t => {
  const metrics = new GatewayMetrics();
  for (let i = 0; i < 520; i++) {
    metrics.recordResult('requests', `r-${i}`, '200', 1);
  }
  const text = metrics.render();
  t.true(text.includes('radishyoke_series_dropped_total 20'));
  t.is(text.split('\n').filter(line => line.includes('_total{')).length, 500);
});

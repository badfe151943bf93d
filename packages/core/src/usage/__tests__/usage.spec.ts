import test from 'ava';
import fc from 'fast-check';
import {ReportTracker} from '../report_tracker.js';
import {UsageLedger} from '../usage_ledger.js';
import type {ReportRecord, UsageEntry} from '../usage_record.js';
import {UsageTally} from '../usage_tally.js';

const WINDOW_MS = 5000;

test('a request counts in the window in which it began', t => {
  const tally = new UsageTally(WINDOW_MS);
  tally.record('alpha', 9_999);
  tally.record('alpha', 10_000);
  tally.record('beta', 10_001);
  tally.record('alpha', 14_999);
  t.deepEqual(tally.take(), [
    {window: 1, account: 'alpha', requests: 1},
    {window: 2, account: 'alpha', requests: 2},
    {window: 2, account: 'beta', requests: 1},
  ]);
  t.true(tally.isEmpty);
  t.deepEqual(tally.take(), []);
});

test('an entry that is appended twice is counted once', t => {
  const counts = [{window: 1, account: 'alpha', requests: 3}];
  const ledger = new UsageLedger();
  ledger.apply({writer: 'vm', number: 0, counts});
  ledger.apply({writer: 'vm', number: 0, counts});
  ledger.apply({writer: 'vm-after-restart', number: 0, counts});
  t.deepEqual(ledger.sum(1), {alpha: 6});
});

test('counts for a closed window are returned as late and change nothing', t => {
  const ledger = new UsageLedger();
  const count = {account: 'alpha', requests: 2};
  t.is(
    ledger.apply({writer: 'a', number: 0, counts: [{window: 1, ...count}]}),
    0,
  );
  ledger.close(2);
  const counts = [
    {window: 1, ...count},
    {window: 2, ...count},
  ];
  t.is(ledger.apply({writer: 'b', number: 0, counts}), 2);
  t.deepEqual(ledger.sum(1), {});
  t.deepEqual(ledger.sum(2), {alpha: 2});
});

test('sums do not depend on how entries of writers are interleaved or repeated', t => {
  const entry = fc.record({
    writer: fc.constantFrom('a', 'b', 'c'),
    repeats: fc.integer({min: 1, max: 3}),
    requests: fc.integer({min: 1, max: 5}),
  });
  fc.assert(
    fc.property(fc.array(entry), entries => {
      const ledger = new UsageLedger();
      const next = new Map<string, number>();
      let expected = 0;
      for (const {writer, repeats, requests} of entries) {
        const number = next.get(writer) ?? 0;
        next.set(writer, number + 1);
        expected += requests;
        const counts = [{window: 7, account: 'alpha', requests}];
        for (let i = 0; i < repeats; i++)
          ledger.apply({writer, number, counts});
      }
      t.is(ledger.sum(7)['alpha'] ?? 0, expected);
    }),
    {seed: 3, numRuns: 300},
  );
});

test('a second decision for a window does not change its counts', t => {
  const tracker = new ReportTracker();
  tracker.apply({kind: 'decided', window: 4, counts: {alpha: 1}});
  tracker.apply({kind: 'decided', window: 4, counts: {alpha: 2}});
  t.deepEqual(tracker.undelivered, [{window: 4, counts: {alpha: 1}}]);
  tracker.apply({kind: 'delivered', window: 4});
  tracker.apply({kind: 'decided', window: 4, counts: {alpha: 2}});
  t.deepEqual(tracker.undelivered, []);
});

test('windows are decided without a gap, starting with the first one', t => {
  const tracker = new ReportTracker();
  t.is(tracker.findNext(99, 60), undefined);
  tracker.apply({kind: 'begun', window: 100});
  tracker.apply({kind: 'begun', window: 101});
  t.is(tracker.findNext(104, 60), 100);
  tracker.apply({kind: 'decided', window: 100, counts: {}});
  t.is(tracker.findNext(104, 60), 101);
  t.is(tracker.findNext(500, 60), 440);
});

test('undelivered reports are listed oldest first', t => {
  const tracker = new ReportTracker();
  for (const window of [5, 3, 4]) {
    tracker.apply({kind: 'decided', window, counts: {}});
  }
  tracker.apply({kind: 'delivered', window: 4});
  t.deepEqual(
    tracker.undelivered.map(({window}) => window),
    [3, 5],
  );
});

test('holders that read the same records report the same counts, however decisions race', t => {
  const record = fc.oneof(
    fc.record({
      kind: fc.constant('decided' as const),
      window: fc.integer({min: 0, max: 5}),
      counts: fc.record({alpha: fc.integer({min: 0, max: 9})}),
    }),
    fc.record({
      kind: fc.constant('delivered' as const),
      window: fc.integer({min: 0, max: 5}),
    }),
  );
  fc.assert(
    fc.property(fc.array(record), records => {
      const reported = new Map<number, number>();
      const tracker = new ReportTracker();
      for (const each of records as readonly ReportRecord[]) {
        tracker.apply(each);
        for (const {window, counts} of tracker.undelivered) {
          const firstCount = reported.get(window) ?? counts['alpha'];
          reported.set(window, firstCount);
          t.is(counts['alpha'], firstCount);
        }
      }
    }),
    {seed: 11, numRuns: 500},
  );
});

test('dropping windows returns the undelivered ones only', t => {
  const tracker = new ReportTracker();
  for (const window of [3, 4, 5]) {
    tracker.apply({kind: 'decided', window, counts: {}});
  }
  tracker.apply({kind: 'delivered', window: 3});
  t.deepEqual(tracker.forget(5), [4]);
  t.deepEqual(
    tracker.undelivered.map(({window}) => window),
    [5],
  );
  t.is(tracker.findNext(9, 60), 6);
});

test('an entry without counts changes nothing', t => {
  const ledger = new UsageLedger();
  const empty: UsageEntry = {writer: 'a', number: 0, counts: []};
  t.is(ledger.apply(empty), 0);
  t.deepEqual(ledger.sum(0), {});
});

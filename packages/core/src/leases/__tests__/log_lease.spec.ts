import test from 'ava';
import fc from 'fast-check';
import {type LeaseRecord, type LeaseTiming, LogLease} from '../log_lease.js';

const TIMING: LeaseTiming = {
  renewMs: 400,
  validityMs: 1300,
  silenceMs: 1600,
  orderWindowMs: 500,
};

/** A partition with conditional appends; calls may be executed late. */
function createPartition() {
  const records: LeaseRecord[] = [];
  return {
    records,
    append(record: LeaseRecord, at: number): number | undefined {
      if (records.length !== at) return undefined;
      records.push(record);
      return at;
    },
  };
}

function createLease(self: string, claimDelayMs = 0): LogLease {
  return new LogLease(self, TIMING, claimDelayMs, 0);
}

test('the first claim succeeds and its offset yields the token', t => {
  const lease = createLease('a');
  t.is(lease.decide(1599, 1599).kind, 'none');
  const action = lease.decide(1600, 1600);
  t.deepEqual(action, {
    kind: 'append',
    record: {kind: 'claim', holder: 'a', atMs: 1600, announcesOrders: true},
    at: 0,
  });
  t.is(lease.decide(1700, 1700).kind, 'none', 'one append at a time');
  lease.onAppended({kind: 'claim', holder: 'a', atMs: 0}, 0, 1610);
  t.is(lease.fencingToken, 1);
  t.true(lease.isHeld(1600 + 1299));
  t.false(lease.isHeld(1600 + 1300), 'counted from before the claim was sent');
});

// Guards against steps that make no progress although there is a coordinator.
// 1. A VM starts while the log is unavailable. Once it is back, the VM reads
//    the lease before the configuration, and claims.
// 2. It drops batches for which it has no routes, and renews the lease for
//    seconds.
test('a VM without the configuration does not claim the lease', t => {
  const lease = createLease('a');
  t.is(lease.decide(1600, 1600, {mayClaim: false}).kind, 'none');
  t.is(lease.decide(1700, 1700, {mayClaim: true}).kind, 'append');
  lease.onAppended({kind: 'claim', holder: 'a', atMs: 0}, 0, 1710);
  const {kind} = lease.decide(2200, 2200, {mayClaim: false});
  t.is(kind, 'append', 'a holder continues to renew');
});

test('a released lease is free for the next VM at once', t => {
  const lease = createLease('b', 30);
  lease.observe({kind: 'claim', holder: 'a', atMs: 0}, 0, 0);
  lease.observe({kind: 'release', holder: 'a', atMs: 0}, 1, 100);
  t.is(lease.decide(129, 129).kind, 'none');
  t.is(lease.decide(130, 130).kind, 'append');
  lease.onAppended({kind: 'claim', holder: 'b', atMs: 0}, 2, 140);
  t.true(lease.isHandedOver);
  lease.observe({kind: 'claim', holder: 'c', atMs: 0}, 3, 9000);
  t.false(lease.isHandedOver, 'taken over without a release');
});

// Guards against two VMs that give orders to one engine.
// 1. VM a claims; the call gets no response and is executed seconds later.
// 2. VM a reads its own claim and counts a new lease from then on.
// This happens if validity is counted from when the claim is read, not from when
// it was sent.
test('a claim that was executed late is not valid until it is renewed', t => {
  const lease = createLease('a');
  lease.decide(1600, 1600);
  lease.onAppendFailed();
  lease.observe({kind: 'claim', holder: 'a', atMs: 0}, 0, 6000);
  t.true(lease.isNamedHolder());
  t.false(lease.isHeld(6000));
  lease.decide(6000, 6000);
  lease.onAppended({kind: 'renewal', holder: 'a', atMs: 0}, 1, 6010);
  t.true(lease.isHeld(6010));
});

// Guards against steps that make no progress for seconds after all VMs lost power.
// 1. The holder and all others are down; one VM is back after two seconds.
// 2. It reads the last renewal and waits for the full silence of a stopped
//    holder.
// This happens if silence is counted from when the record is read.
test('a VM that starts long after the last record claims at once', t => {
  const start = (unixNowMs: number) => {
    const lease = new LogLease('b', TIMING, 0, 0);
    lease.observe({kind: 'renewal', holder: 'a', atMs: 10_000}, 0, 0);
    lease.onCaughtUp(0, unixNowMs);
    return lease;
  };
  t.is(start(12_000).decide(0, 12_000).kind, 'append');
  t.is(start(10_400).decide(1199, 0).kind, 'none');
  t.is(start(10_400).decide(1200, 0).kind, 'append');
  t.is(start(2000).decide(1599, 0).kind, 'none', 'a clock that is behind');
});

const CLAIM = {kind: 'claim', atMs: 0, announcesOrders: true} as const;
const RENEWAL = {kind: 'renewal', atMs: 0, announcesOrders: true} as const;
const ORDER = {kind: 'order', atMs: 0, announcesOrders: true} as const;

// Guards against trainers that wait seconds for weights after a coordinator
// stopped.
// 1. The holder stops; it had ordered one engine of six.
// 2. Its successor waits for a full lease before it orders any engine.
// This happens if no record names the engines that the previous holder ordered.
test('a successor waits only for engines that were announced', t => {
  const lease = createLease('b');
  lease.observe({...CLAIM, holder: 'a'}, 0, 0);
  lease.observe({...ORDER, holder: 'a', engines: ['e1']}, 1, 400);
  lease.decide(2000, 2000);
  lease.onAppended({...CLAIM, holder: 'b'}, 2, 2010);
  t.is(lease.measureQuietMs('e1', 2010), 2010 - 400 - TIMING.orderWindowMs);
  t.is(lease.measureQuietMs('e2', 2010), Infinity);
});

// Guards against orders of two VMs to one engine within a lease.
// 1. VM a runs an earlier version of the program: it gives orders while its
//    lease is valid, without announcing them.
// 2. VM b takes over.
test('any engine may have been ordered by a holder that announces nothing', t => {
  const lease = createLease('b');
  lease.observe({kind: 'claim', holder: 'a', atMs: 0}, 0, 0);
  lease.observe({kind: 'renewal', holder: 'a', atMs: 0}, 1, 400);
  lease.decide(400 + TIMING.silenceMs, 0);
  lease.onAppended({...CLAIM, holder: 'b'}, 2, 2010);
  t.is(lease.measureQuietMs('e1', 2010), 2010 - (400 + TIMING.validityMs));
});

// Guards against orders of two VMs to one engine within a lease.
// 1. VM a has just renewed, and its lease is valid for 900 ms more.
// 2. VM b starts with a clock that is ahead, takes the renewal for an old one
//    and claims at once; its term starts while the lease of a is still valid.
// This happens if the wait before an order depends on the time of day.
test('a clock that is ahead does not shorten the wait before an order', t => {
  const lease = createLease('b');
  lease.observe({kind: 'renewal', holder: 'a', atMs: 0}, 0, 100);
  lease.onCaughtUp(100, 60_000);
  lease.decide(100, 60_000);
  lease.onAppended({...CLAIM, holder: 'b', atMs: 60_000}, 1, 110);
  t.is(lease.measureQuietMs('e1', 100 + TIMING.validityMs + 500), 500);
});

// Guards against engines that load no new weights for seconds after all VMs
// lost power.
// 1. A VM that is back reads the complete log at one moment.
// 2. It takes an announcement that is minutes old for a current one.
// This happens if age is counted from when the record is read.
test('renewals after an announcement prove its minimum age', t => {
  const lease = createLease('b');
  lease.observe({...ORDER, holder: 'a', engines: ['e1']}, 0, 0);
  for (let i = 1; i <= 20; i++) {
    lease.observe({...RENEWAL, holder: 'a'}, i, 0);
  }
  const agedMs = 20 * TIMING.renewMs;
  t.is(lease.measureQuietMs('e1', 0), agedMs - TIMING.orderWindowMs);
});

// Guards against orders of two VMs to one engine within a lease.
// 1. VM b cannot read for a moment; meanwhile a announces an order.
// 2. The log trims that record before b reads again.
test('after a gap any engine may have been ordered', t => {
  const lease = createLease('b');
  lease.observe({...CLAIM, holder: 'a'}, 0, 0);
  lease.onGap(5000);
  t.is(lease.measureQuietMs('e1', 6000), 1000 - TIMING.orderWindowMs);
});

test('an appended announcement covers orders for a limited time', t => {
  const lease = createLease('a');
  lease.decide(1600, 1600);
  lease.onAppended({...CLAIM, holder: 'a'}, 0, 1610);
  t.false(lease.isAnnounced('e1', 1620));
  const action = lease.decide(1620, 1620, {engines: ['e1']});
  t.like(action, {kind: 'append', record: {kind: 'order', engines: ['e1']}});
  t.false(lease.isAnnounced('e1', 1625));
  lease.onAppended({...ORDER, holder: 'a', engines: ['e1']}, 1, 1630);
  t.true(lease.isAnnounced('e1', 1620 + TIMING.orderWindowMs - 1));
  t.false(lease.isAnnounced('e1', 1620 + TIMING.orderWindowMs));
  t.false(lease.isAnnounced('e2', 1630));
});

test('a holder does not wait after its own orders of an earlier term', t => {
  const lease = createLease('a');
  lease.observe({...ORDER, holder: 'a', engines: ['e1']}, 0, 0);
  t.is(lease.measureQuietMs('e1', 0), Infinity);
});

/**
 * One event: the VM it concerns, its kind, and the time that passes before it.
 */
const step = fc.record({
  vm: fc.nat(2),
  event: fc.constantFrom('decide', 'decide_lost', 'decide_late', 'read'),
  passMs: fc.integer({min: 0, max: 700}),
});

test('two VMs never hold the lease at the same time, whichever answers are lost or late', t => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 120}), steps => {
      const partition = createPartition();
      const leases = ['a', 'b', 'c'].map((name, i) =>
        createLease(name, i * 50),
      );
      const nextRead = [0, 0, 0];
      const late: Array<{readonly record: LeaseRecord; readonly at: number}> =
        [];
      let nowMs = 0;
      for (const {vm, event, passMs} of steps) {
        nowMs += passMs;
        const lease = leases[vm];
        if (event === 'read') {
          for (; nextRead[vm] < partition.records.length; nextRead[vm]++) {
            lease.observe(partition.records[nextRead[vm]], nextRead[vm], nowMs);
          }
          const call = late.shift();
          if (call) partition.append(call.record, call.at);
          continue;
        }
        const action = lease.decide(nowMs, nowMs);
        if (action.kind === 'append') {
          const {record, at} = action;
          if (event === 'decide_late') late.push(action);
          const offset =
            event === 'decide_late' ? undefined : partition.append(record, at);
          if (event === 'decide' && offset !== undefined) {
            lease.onAppended(record, offset, nowMs);
            nextRead[vm] = Math.max(nextRead[vm], offset + 1);
          } else {
            lease.onAppendFailed();
          }
        }
        const holders = leases.filter(each => each.isHeld(nowMs));
        t.true(holders.length <= 1);
      }
      const tokens = partition.records.flatMap(({kind}, offset) =>
        kind === 'claim' ? [offset + 1] : [],
      );
      t.deepEqual(
        tokens,
        [...new Set(tokens)].sort((x, y) => x - y),
      );
    }),
    {seed: 7, numRuns: 2000},
  );
});

/** Least time between the orders of two holders, ms. */
const ORDER_GAP_MS = 3000;

/** The engine that each holder is always about to order. */
const ENGINE = 'e1';
const ENGINES: readonly string[] = [ENGINE];

/** Interval at which a VM checks the lease, ms. */
const TICK_MS = 100;

/** A fault of one VM for some ticks. */
const fault = fc.record({
  vm: fc.nat(2),
  kind: fc.constantFrom('cut', 'answers_lost', 'reads_late'),
  from: fc.nat(300),
  ticks: fc.integer({min: 1, max: 60}),
});

interface Fault {
  readonly vm: number;
  readonly kind: string;
  readonly from: number;
  readonly ticks: number;
}

/** Three VMs that share one partition. */
function createCluster(faults: readonly Fault[]) {
  const partition = createPartition();
  const leases = ['a', 'b', 'c'].map((name, i) => createLease(name, i * 50));
  const nextRead = [0, 0, 0];
  const hasFault = (vm: number, kind: string, tick: number) =>
    faults.some(
      t =>
        t.vm === vm &&
        t.kind === kind &&
        tick >= t.from &&
        tick < t.from + t.ticks,
    );
  const read = (vm: number, nowMs: number) => {
    for (; nextRead[vm] < partition.records.length; nextRead[vm]++) {
      leases[vm].observe(partition.records[nextRead[vm]], nextRead[vm], nowMs);
    }
  };
  const act = (vm: number, tick: number, nowMs: number) => {
    const action = leases[vm].decide(nowMs, nowMs, {engines: ENGINES});
    if (action.kind !== 'append') return;
    const isCut = hasFault(vm, 'cut', tick);
    const offset = isCut
      ? undefined
      : partition.append(action.record, action.at);
    if (offset === undefined || hasFault(vm, 'answers_lost', tick)) {
      leases[vm].onAppendFailed();
    } else {
      leases[vm].onAppended(action.record, offset, nowMs);
    }
  };
  return {
    leases,
    step(tick: number): void {
      const nowMs = tick * TICK_MS;
      for (const vm of [0, 1, 2]) {
        if (!hasFault(vm, 'cut', tick) && !hasFault(vm, 'reads_late', tick)) {
          read(vm, nowMs);
        }
        act(vm, tick, nowMs);
      }
    },
  };
}

// Guards against an engine that gets orders from two holders alternately.
// 1. A holder that has lost its connection to the log still gives an order.
// 2. Its successor gives one less than a lease later.
test('orders of two holders are a lease apart, whichever faults occur', t => {
  let changes = 0;
  fc.assert(
    fc.property(fc.array(fault, {maxLength: 12}), faults => {
      const cluster = createCluster(faults);
      let last: {readonly holder: string; readonly atMs: number} | undefined;
      for (let tick = 0; tick < 400; tick++) {
        cluster.step(tick);
        const nowMs = tick * TICK_MS;
        for (const lease of cluster.leases) {
          if (!lease.isAnnounced(ENGINE, nowMs)) continue;
          if (lease.measureQuietMs(ENGINE, nowMs) < ORDER_GAP_MS) continue;
          if (last && last.holder !== lease.self) {
            changes += 1;
            t.true(nowMs - last.atMs >= ORDER_GAP_MS);
          }
          last = {holder: lease.self, atMs: nowMs};
        }
      }
    }),
    {seed: 11, numRuns: 400},
  );
  t.true(changes > 100, `${changes} changes of the holder that orders`);
});

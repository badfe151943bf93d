import test from 'ava';
import fc from 'fast-check';
import type {EndpointId} from '@radishyoke/shared/ids';
import {MembershipNetwork, Node} from '../../simulation/membership_network.js';

const SEED = 20261202;
const SETTLE_MS = 4000;
const CONFIG_BOUND_MS = 6000;
/** Must not grow with the number of VMs: one per second for each contact. */
const MAX_MESSAGES_PER_SECOND = 20;
/** Worst case of probing, suspicion and spreading the failure. */
const FAILURE_BOUND_MS = 9000;

function seesAll(network: MembershipNetwork, node: Node): boolean {
  return node.vms.length === network.nodes.filter(n => n.isUp).length;
}

function countMsUntil(
  network: MembershipNetwork,
  limitMs: number,
  holds: () => boolean,
): number {
  const startMs = network.nowMs;
  while (!holds() && network.nowMs - startMs < limitMs) network.run(50);
  return network.nowMs - startMs;
}

/** Returns the most messages per second that any VM sends without faults. */
function measureMessageRate(network: MembershipNetwork): number {
  const before = network.nodes.map(node => node.sentCount);
  network.run(2000);
  return Math.max(
    ...network.nodes.map((n, i) => (n.sentCount - before[i]) / 2),
  );
}

// Guards against a VM that never applies a new configuration because its log
// connection went silent.
// 1. An operator publishes; one VM reads the record, while the log connections
//    of all others are silent.
// 2. A fifth of the connections between VMs are silent as well.
// It happens if only the log announces a configuration, or if an open
// connection is assumed to work.
for (const size of [13, 360]) {
  test(`a config offset reaches all of ${size} VMs within its time limit`, t => {
    const dataCentres = size === 13 ? 4 : 9;
    const network = new MembershipNetwork({vms: size, dataCentres, seed: SEED});
    network.run(SETTLE_MS);
    t.true(measureMessageRate(network) <= MAX_MESSAGES_PER_SECOND);
    network.silenceConnections(20);
    const reader = network.nodes[5];
    reader.configNext = 8;
    network.handleEvent(reader, {kind: 'config_offset', next: 8});
    const tookMs = countMsUntil(network, CONFIG_BOUND_MS, () =>
      network.nodes.every(node => node.configNext === 8),
    );
    t.true(network.nodes.every(node => node.configNext === 8));
    t.log(`${size} VMs: ${tookMs} ms`);
    t.true(
      network.nodes.every(node => node.machine.listNeighbours().length < 17),
    );
    t.true(network.nodes.every(node => seesAll(network, node)));
  });
}

// After pauses, crashes, restarts, partitions and silent connections in any
// order, every VM must see exactly the VMs that are alive. A live VM that stays
// "failed" would never get a share of the work again; a dead VM that stays
// "alive" would keep a share that nobody uses.
test('the view of every VM is correct a few seconds after any faults', t => {
  const fault = fc.record({
    kind: fc.constantFrom(
      'pause',
      'crash',
      'restart',
      'cut',
      'silence',
      'leave',
    ),
    vm: fc.nat(12),
    forMs: fc.integer({min: 200, max: 9000}),
  });
  const property = fc.property(
    fc.array(fault, {minLength: 1, maxLength: 6}),
    fc.nat(1 << 20),
    (faults, seed) => {
      const network = new MembershipNetwork({
        vms: 13,
        dataCentres: 3,
        seed,
        lossPercent: 2,
      });
      network.run(1500);
      for (const {kind, vm, forMs} of faults) {
        applyFault(network, network.nodes[vm], kind, forMs);
        network.run(forMs / 2);
      }
      network.canReach = () => true;
      // All pauses are over by then, and one failed VM is probed every two
      // seconds.
      network.run(25_000);
      const live = network.nodes.filter(node => node.isUp);
      const serving = live.filter(
        node => node.machine.listMembers()[0].state === 'alive',
      );
      for (const node of live) {
        const expected = serving.map(other => other.vm.id).sort();
        t.deepEqual(node.vms, expected);
      }
    },
  );
  fc.assert(property, {seed: SEED, numRuns: 12});
});

function applyFault(
  network: MembershipNetwork,
  node: Node,
  kind: string,
  forMs: number,
): void {
  switch (kind) {
    case 'pause':
      node.pausedUntilMs = network.nowMs + forMs;
      return;
    case 'crash':
      node.isUp = false;
      return;
    case 'restart':
      return network.restart(node);
    case 'cut': {
      const {dataCentre} = node.vm;
      network.canReach = (a, b) =>
        (a.dataCentre === dataCentre) === (b.dataCentre === dataCentre);
      return;
    }
    case 'silence':
      return network.silenceConnections(30);
    case 'leave':
      return network.handleEvent(node, {kind: 'leave'});
  }
}

// Guards against a crashed VM that keeps its share of every limit for minutes,
// so that queues fill. It happens if the other VMs detect the crash only by the
// VM list, which lags.
test('all of 360 VMs declare a dead VM failed within seconds', t => {
  const network = new MembershipNetwork({vms: 360, dataCentres: 9, seed: SEED});
  network.run(SETTLE_MS);
  network.nodes[77].isUp = false;
  const live = network.nodes.filter(node => node.isUp);
  countMsUntil(network, FAILURE_BOUND_MS, () =>
    live.every(node => seesAll(network, node)),
  );
  t.deepEqual(
    live.filter(node => !seesAll(network, node)).map(node => node.vm.id),
    [],
  );
});

// Guards against treating a silent connection as a dead VM: half the
// connections go silent for good at once, new ones work, and no VM may lose its
// share.
test('silent connections cause no VM to be declared failed', t => {
  const network = new MembershipNetwork({vms: 13, dataCentres: 3, seed: SEED});
  network.run(SETTLE_MS);
  network.silenceConnections(50);
  const sizes = new Set<number>();
  for (let i = 0; i < 100; i++) {
    network.run(100);
    for (const node of network.nodes) sizes.add(node.vms.length);
  }
  t.deepEqual([...sizes], [13]);
  t.is(network.silentConnections.size, 0);
});

function findLastLoad(node: Node, reporter: Node): unknown {
  return node.otherActions
    .filter(a => a.kind === 'peer_load' && a.vm === reporter.vm.id)
    .at(-1);
}

test('load, crashes and silent endpoints reach the other VMs', t => {
  const network = new MembershipNetwork({vms: 13, dataCentres: 3, seed: SEED});
  network.run(SETTLE_MS);
  const [reporter, ...others] = network.nodes;
  const endpoint = 'worker-3' as EndpointId;
  const inFlight = new Map([[endpoint, 7]]);
  network.handleEvent(reporter, {kind: 'own_load', inFlight});
  network.handleEvent(reporter, {kind: 'own_suspects', fingerprints: ['f1']});
  network.handleEvent(reporter, {kind: 'own_silent_endpoint', endpoint});
  network.run(3000);
  const listReceivers = (kind: string) =>
    others.filter(node =>
      node.otherActions.some(action => action.kind === kind),
    );
  t.is(listReceivers('suspects').length, 12);
  t.is(listReceivers('silent_endpoint').length, 12);
  const loads = others.map(node => findLastLoad(node, reporter));
  const expected = {kind: 'peer_load', vm: reporter.vm.id, inFlight};
  for (const load of loads) t.deepEqual(load as unknown, expected);
  reporter.isUp = false;
  network.run(FAILURE_BOUND_MS);
  for (const node of others) {
    const last = findLastLoad(node, reporter);
    t.deepEqual(last as unknown, {...expected, inFlight: new Map()});
  }
});

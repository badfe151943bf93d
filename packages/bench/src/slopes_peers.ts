/** Measures what membership and peer messages cost one VM, by the number of VMs. */

import {MembershipNetwork} from '@radishyoke/core/simulation/membership_network';
import type {VmInfo} from '@radishyoke/shared/endpoint';
import {toEndpointId} from '@radishyoke/shared/ids';
import {
  decodePeerMessage,
  encodePeerMessage,
} from '@radishyoke/wire/peer_message';
import {createSlope, measureCpuMs, measureHeapBytes, Slope} from './slope.js';

const VM_COUNTS = [13, 120, 360] as const;
const DATA_CENTRES = 9;
const SEED = 7;
const SETTLE_MS = 12_000;
/** Minimum of VM-seconds to measure; small deployments are measured for longer. */
const MEASURED_VM_SECONDS = 1000;
/** Headers of IP, of TCP with timestamps and of the masked WebSocket frame. */
const FRAME_BYTES = 20 + 32 + 8;
const IDLE_SECONDS = 3;
const TIMEOUT_MS = 120_000;
/** Endpoints a VM has work items on, and how many of their counts change per second. */
const ENDPOINTS_IN_USE = 20;
const CHANGES_PER_SECOND = 10;

/** Data centres of the region that is cut off. */
const PARTITIONED_DATA_CENTRES: ReadonlySet<string> = new Set([
  'dc-0',
  'dc-1',
  'dc-2',
]);

export function* measurePeers(): Generator<Slope> {
  // Lets the JIT compiler optimize the code before anything is timed.
  createNetwork(VM_COUNTS[0]).run(SETTLE_MS);
  for (const vms of VM_COUNTS) yield* measureSteadyState(vms);
  for (const vms of VM_COUNTS) yield* measureConfigPropagation(vms);
  for (const vms of VM_COUNTS) yield* measureFailureDetection(vms);
  yield* measurePartition(360);
}

/** Measures a network without failures, first with changing load, then idle. */
function* measureSteadyState(vms: number): Generator<Slope> {
  let network!: MembershipNetwork;
  const heap = measureHeapBytes(() => {
    network = createNetwork(vms);
    return network;
  });
  const seconds = Math.ceil(MEASURED_VM_SECONDS / vms);
  const traffic = countTraffic(network);
  const cpuMs = measureCpuMs(() => {
    for (let i = 0; i < seconds; i++) {
      changeLoad(network, i);
      network.run(1000);
    }
  });
  const vmSeconds = vms * seconds;
  const perSecond = (total: number) => total / vmSeconds;
  yield createSlope(`peer_messages_${vms}`, perSecond(traffic.messages), '1/s');
  // Each message is sent by one VM and received by another.
  const bytes = 2 * (traffic.bytes + FRAME_BYTES * traffic.messages);
  yield createSlope(`peer_bytes_${vms}`, perSecond(bytes), 'B/s');
  yield createSlope(`peer_cpu_ms_${vms}`, perSecond(cpuMs), 'ms/s');
  yield createSlope(`peer_heap_${vms}`, heap / vms, 'B');
  network.run(SETTLE_MS);
  const idle = countTraffic(network);
  network.run(IDLE_SECONDS * 1000);
  const idleBytes = 2 * (idle.bytes + FRAME_BYTES * idle.messages);
  const idleRate = idleBytes / (vms * IDLE_SECONDS);
  yield createSlope(`peer_idle_bytes_${vms}`, idleRate, 'B/s');
}

/** Measures the time from the first VM that reads a config offset to the last. */
function* measureConfigPropagation(vms: number): Generator<Slope> {
  const network = createNetwork(vms);
  network.silenceConnections(20);
  const traffic = countTraffic(network);
  const [reader] = network.nodes;
  reader.configNext = 1;
  network.handleEvent(reader, {kind: 'config_offset', next: 1});
  const ms = countMsUntil(network, () =>
    network.nodes.every(node => node.configNext === 1),
  );
  yield createSlope(`config_spread_ms_${vms}`, ms, 'ms');
  const bytes = (2 * traffic.configBytes) / vms;
  yield createSlope(`config_bytes_${vms}`, bytes, 'B');
}

/** Measures the time from a VM's failure until every other VM has removed it. */
function* measureFailureDetection(vms: number): Generator<Slope> {
  const network = createNetwork(vms);
  const failed = network.nodes[1];
  failed.isUp = false;
  const ms = countMsUntil(network, () =>
    network.nodes.every(
      node => node === failed || !node.vms.includes(failed.vm.id),
    ),
  );
  yield createSlope(`failure_seen_ms_${vms}`, ms, 'ms');
}

/** Measures how one region of three is partitioned off and rejoins. */
function* measurePartition(vms: number): Generator<Slope> {
  const network = createNetwork(vms);
  const isPartitioned = (vm: VmInfo) =>
    PARTITIONED_DATA_CENTRES.has(vm.dataCentre);
  network.canReach = (a, b) => isPartitioned(a) === isPartitioned(b);
  const detectedMs = countMsUntil(network, () =>
    network.nodes.every(node => {
      const side = network.nodes.filter(
        n => isPartitioned(n.vm) === isPartitioned(node.vm),
      );
      return node.vms.length === side.length;
    }),
  );
  yield createSlope(`cut_seen_ms_${vms}`, detectedMs, 'ms');
  network.canReach = () => true;
  const healedMs = countMsUntil(network, () =>
    network.nodes.every(node => node.vms.length === vms),
  );
  yield createSlope(`cut_healed_ms_${vms}`, healedMs, 'ms');
}

function createNetwork(vms: number): MembershipNetwork {
  const options = {vms, dataCentres: DATA_CENTRES, seed: SEED};
  const network = new MembershipNetwork(options);
  network.run(SETTLE_MS);
  return network;
}

function changeLoad(network: MembershipNetwork, round: number): void {
  for (const [i, node] of network.nodes.entries()) {
    const inFlight = new Map(
      Array.from({length: ENDPOINTS_IN_USE}, (_, e) => [
        toEndpointId(`gebze-a-worker-${i + e}`),
        e < CHANGES_PER_SECOND ? 1 + round + e : 5,
      ]),
    );
    network.handleEvent(node, {kind: 'own_load', inFlight});
  }
}

/** Counts the messages sent from now on and their encoded bytes. */
function countTraffic(network: MembershipNetwork) {
  const traffic = {messages: 0, bytes: 0, configBytes: 0};
  network.onMessage = message => {
    const data = encodePeerMessage(message);
    if (!decodePeerMessage(data).ok) throw new Error('undecodable message');
    traffic.messages++;
    traffic.bytes += data.length;
    if (message.kind.startsWith('config')) traffic.configBytes += data.length;
  };
  return traffic;
}

function countMsUntil(
  network: MembershipNetwork,
  isReached: () => boolean,
): number {
  const startMs = network.nowMs;
  while (!isReached() && network.nowMs - startMs < TIMEOUT_MS) network.run(10);
  return network.nowMs - startMs;
}

/** Measures what endpoints and the VM list cost one VM, per endpoint. */

import http from 'node:http';
import {PolicyScheduler} from '@radishyoke/core/scheduling/policy_scheduler';
import {createRandomBits} from '@radishyoke/core/scheduling/random_bits';
import {startFakeEngine} from '@radishyoke/fakes/fake_engine';
import {startFakeVmList} from '@radishyoke/fakes/fake_vm_list';
import type {EndpointInfo, VmInfo} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toEndpointId, toVmId} from '@radishyoke/shared/ids';
import {createSlope, measureCpuMs, measureHeapBytes, Slope} from './slope.js';

const ENDPOINTS = 720;
const REPORT_ROUNDS = 20;

export async function* measureEndpoints(): AsyncGenerator<Slope> {
  yield* measureScheduler();
  yield* measureListBytes();
  const engine = await startFakeEngine();
  const bytes = await countExchangeBytes(engine.address, '/load');
  await engine.close();
  yield createSlope('load_report_bytes', bytes, 'B');
}

function* measureScheduler(): Generator<Slope> {
  const endpoints = Array.from({length: ENDPOINTS}, (_, i) =>
    createEndpoint(i),
  );
  let scheduler!: PolicyScheduler;
  let nowMs = 1_000_000;
  const report = () => {
    nowMs += 1000;
    for (const {id} of endpoints) {
      scheduler.handle({kind: 'load', report: createReport(id, nowMs)}, nowMs);
    }
  };
  const heap = measureHeapBytes(() => {
    scheduler = new PolicyScheduler(
      {vm: toVmId('vm'), dataCentre: toDataCentreId('dc')},
      createRandomBits(1),
    );
    scheduler.handle({kind: 'endpoints', endpoints}, nowMs);
    report();
    return scheduler;
  });
  yield createSlope('endpoint_heap', heap / ENDPOINTS, 'B');
  const cpuMs = measureCpuMs(() => {
    for (let i = 0; i < REPORT_ROUNDS; i++) report();
  });
  const perReport = cpuMs / (REPORT_ROUNDS * ENDPOINTS);
  yield createSlope('load_report_cpu_ms', perReport, 'ms');
}

async function* measureListBytes(): AsyncGenerator<Slope> {
  const empty = await countListBytes(0, 0);
  const vms = await countListBytes(100, 0);
  const endpoints = await countListBytes(0, 100);
  yield createSlope('vm_list_bytes', empty, 'B');
  yield createSlope('vm_list_bytes_per_vm', (vms - empty) / 100, 'B');
  yield createSlope(
    'vm_list_bytes_per_endpoint',
    (endpoints - empty) / 100,
    'B',
  );
}

async function countListBytes(vms: number, endpoints: number): Promise<number> {
  const fake = await startFakeVmList({
    list: {
      vms: Array.from({length: vms}, (_, i) => createVm(i)),
      endpoints: Array.from({length: endpoints}, (_, i) => createEndpoint(i)),
    },
  });
  const bytes = await countExchangeBytes(fake.address, '/vms');
  await fake.close();
  return bytes;
}

/** Returns the bytes, in both directions, of one GET on an open connection. */
async function countExchangeBytes(
  address: string,
  path: string,
): Promise<number> {
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const first = await getOnce(agent, address, path);
  const second = await getOnce(agent, address, path);
  agent.destroy();
  return second - first;
}

/** Sends a GET; returns all bytes that its connection has carried so far. */
function getOnce(
  agent: http.Agent,
  address: string,
  path: string,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const req = http.get(`http://${address}${path}`, {agent}, res => {
      const {socket} = res;
      res.resume();
      res.once('end', () => resolve(socket.bytesRead + socket.bytesWritten));
    });
    req.once('error', reject);
  });
}

function createEndpoint(index: number): EndpointInfo {
  return {
    id: toEndpointId(`gebze-a-worker-${index}`),
    kind: 'engine',
    address: `10.20.${index >> 8}.${index & 255}:8000`,
    dataCentre: toDataCentreId('gebze-a'),
    group: 'tutors',
    model: 'hint-tutor',
    state: 'live',
    checksFencing: true,
  };
}

function createVm(index: number): VmInfo {
  return {
    id: toVmId(`gebze-a-entry-${index}`),
    peerAddress: `10.20.${index >> 8}.${index & 255}:7101`,
    callerAddress: `10.20.${index >> 8}.${index & 255}:7100`,
    dataCentre: toDataCentreId('gebze-a'),
    state: 'live',
  };
}

function createReport(endpoint: EndpointInfo['id'], measuredAtMs: number) {
  return {
    endpoint,
    running: 16,
    waiting: 2,
    waitingPromptTokens: 900,
    tokensPerSecond: 1800,
    weightVersion: 4,
    leaving: false,
    measuredAtMs,
  };
}

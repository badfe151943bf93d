import test from 'ava';
import {buildOrdersLeaseName} from '@radishyoke/core/ledger/lease_table';
import {DEFAULT_CLAIM_HORIZON_MS} from '@radishyoke/core/ledger/state_fold';
import {startFakeEngine} from '@radishyoke/fakes/fake_engine';
import {startFakeLog} from '@radishyoke/fakes/fake_log';
import {startFakeWeightStore} from '@radishyoke/fakes/fake_weight_store';
import {HttpLogClient} from '@radishyoke/stores/http_log_client';
import {HttpWeightStoreClient} from '@radishyoke/stores/http_weight_store_client';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import {
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toVmId,
} from '@radishyoke/shared/ids';
import {Agent} from 'undici';
import type {EndpointTask} from '../endpoint_task.js';
import type {HeldLease} from '../../log/lease_holder.js';
import {LogTask} from '../../log/log_task.js';
import {createLogger} from '../../logger.js';
import {OrderTask} from '../order_task.js';
import {DEFAULT_SESSION_TIMING} from '../../log/session_tracker.js';

const MODEL = 'tutor';
const POLL_MS = 20;

/** A log task that on request reports a held lease as lost, once. */
class LeaseLossLogTask extends LogTask {
  reportsLeaseLost = false;

  override holds(held: HeldLease): boolean {
    const {reportsLeaseLost} = this;
    this.reportsLeaseLost = false;
    return !reportsLeaseLost && super.holds(held);
  }
}

// Guards against weight orders stopping permanently, after which every rollout
// is too old and no step completes. The VM that holds the lease on orders loses
// its log connections and must assume that its session expired. In fact the
// session was renewed in time, so the log still names this VM as the holder. It
// must not mistake that entry for the lease of another VM.
test('a VM that wrongly assumed its session expired continues to order weights', async t => {
  const platform = await Promise.all([
    startFakeLog(),
    startFakeWeightStore(),
    startFakeEngine({model: MODEL, fetchMs: 1, swapMs: 1, loadLagMs: 0}),
  ]);
  const [log, weightStore, engine] = platform;
  const logClient = new HttpLogClient(log.address);
  const storeClient = new HttpWeightStoreClient(weightStore.address);
  const http = new Agent();
  const task = new LeaseLossLogTask(logClient, {
    vm: toVmId('vm'),
    incarnation: toIncarnationId('1'),
    session: DEFAULT_SESSION_TIMING,
    deploymentAppendsPerSecond: 300,
    claimHorizonMs: DEFAULT_CLAIM_HORIZON_MS,
    logRetentionMs: 3_600_000,
    checkConfig: () => undefined,
  });
  const info: EndpointInfo = {
    id: toEndpointId('engine'),
    kind: 'engine',
    address: engine.address,
    dataCentre: toDataCentreId('dc'),
    group: 'tutors',
    model: MODEL,
    state: 'live',
    checksFencing: true,
  };
  const endpoints = {
    listEndpoints: () => [info],
    findReport: () => ({weightVersion: engine.readWeightVersion()}),
  } as unknown as EndpointTask;
  const orders = new OrderTask({
    log: task,
    endpoints,
    weightStore: storeClient,
    fetchesPerSecond: 4,
    http,
    logger: createLogger('error', {vm: 'vm', dataCentre: 'dc'}),
  });
  t.teardown(async () => {
    orders.stop();
    task.stop();
    await Promise.all([logClient.close(), storeClient.close(), http.destroy()]);
    await Promise.all(platform.map(standin => standin.close()));
  });
  task.start();
  orders.start();
  const publishAndAwaitLoad = async (version: number) => {
    weightStore.publish(MODEL, version);
    while (engine.readWeightVersion() < version) await sleep(POLL_MS);
  };
  await publishAndAwaitLoad(2);
  const fencingBefore = task.state.leases.find(
    buildOrdersLeaseName(MODEL),
  )?.fencing;
  task.reportsLeaseLost = true;
  await publishAndAwaitLoad(3);
  t.is(
    task.state.leases.find(buildOrdersLeaseName(MODEL))?.fencing,
    fencingBefore,
  );
});

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

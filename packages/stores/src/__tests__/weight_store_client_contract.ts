/**
 * Tests that every implementation of `WeightStoreClient` must pass, including under
 * faults.
 */

import type {WeightStoreFault} from '@radishyoke/fakes/fake_weight_store';
import type {FaultPlan} from '@radishyoke/fakes/fault_plan';
import test from 'ava';
import type {WeightStoreClient} from '../weight_store_client.js';
import {
  SHORT_TIMEOUT,
  LONG_TIMEOUT,
  TRANSPORT_FAULT_CASES,
  waitForNextTurn,
} from './transport_fault_cases.js';

/** A client connected to a fake weight store. */
export interface WeightStoreHarness {
  readonly client: WeightStoreClient;
  readonly faults: FaultPlan<WeightStoreFault>;
  publish(model: string, version: number, bytes: number): void;
  close(): Promise<void>;
}

const MODEL = 'tutor/es ?';

/** Registers the contract tests for one implementation. */
export function testWeightStoreClient(
  label: string,
  start: () => Promise<WeightStoreHarness>,
): void {
  for (const c of TRANSPORT_FAULT_CASES)
    test(`${label}: listVersions, ${c.name}`, async t => {
      const {client, faults, publish, close} = await start();
      t.teardown(close);
      publish(MODEL, 3, 30);
      publish(MODEL, 2, 20);
      const value = [
        {version: 2, bytes: 20},
        {version: 3, bytes: 30},
      ];
      t.deepEqual(await client.listVersions(MODEL, LONG_TIMEOUT), {
        ok: true,
        value,
      });
      await waitForNextTurn();
      faults.set(c.fault);
      const options = c.timesOut ? SHORT_TIMEOUT : LONG_TIMEOUT;
      const result = await client.listVersions(MODEL, options);
      t.is(!result.ok && result.error.kind, 'store_unavailable');
      faults.clear();
      t.deepEqual(await client.listVersions(MODEL, LONG_TIMEOUT), {
        ok: true,
        value,
      });
    });

  test(`${label}: an unknown model has no versions`, async t => {
    const {client, close} = await start();
    t.teardown(close);
    const none = {ok: true, value: []} as const;
    t.deepEqual(await client.listVersions('other', LONG_TIMEOUT), none);
  });
}

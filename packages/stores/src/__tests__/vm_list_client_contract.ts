/**
 * Tests that every implementation of `VmListClient` must pass, including under
 * faults.
 */

import type {VmListFault} from '@radishyoke/fakes/fake_vm_list';
import type {FaultPlan} from '@radishyoke/fakes/fault_plan';
import type {VmList} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toEndpointId, toVmId} from '@radishyoke/shared/ids';
import test from 'ava';
import type {VmListClient} from '../vm_list_client.js';
import {
  SHORT_TIMEOUT,
  LONG_TIMEOUT,
  TRANSPORT_FAULT_CASES,
  waitForNextTurn,
} from './transport_fault_cases.js';

/** A client connected to a fake VM list. */
export interface VmListHarness {
  readonly client: VmListClient;
  readonly faults: FaultPlan<VmListFault>;
  update(list: VmList): void;
  close(): Promise<void>;
}

/** Creates a list with one VM and one engine. */
export function createVmList(state: 'live' | 'leaving' = 'live'): VmList {
  const dataCentre = toDataCentreId('kartal');
  return {
    vms: [
      {
        id: toVmId('vm-1'),
        peerAddress: '127.0.0.1:1',
        callerAddress: '127.0.0.1:3',
        dataCentre,
        state,
      },
    ],
    endpoints: [
      {
        id: toEndpointId('engine-1'),
        kind: 'engine',
        address: '127.0.0.1:2',
        dataCentre,
        group: 'tutor',
        model: 'tutor',
        state,
        checksFencing: false,
      },
    ],
  };
}

/** Registers the contract tests for one implementation. */
export function testVmListClient(
  label: string,
  start: () => Promise<VmListHarness>,
): void {
  for (const c of TRANSPORT_FAULT_CASES)
    test(`${label}: fetch, ${c.name}`, async t => {
      const {client, faults, update, close} = await start();
      t.teardown(close);
      update(createVmList());
      t.deepEqual(await client.fetch(LONG_TIMEOUT), {
        ok: true,
        value: createVmList(),
      });
      await waitForNextTurn();
      faults.set(c.fault);
      const result = await client.fetch(
        c.timesOut ? SHORT_TIMEOUT : LONG_TIMEOUT,
      );
      t.is(!result.ok && result.error.kind, 'vm_list_unavailable');
      faults.clear();
      t.true((await client.fetch(LONG_TIMEOUT)).ok);
    });

  test(`${label}: a lagging list is returned as it is`, async t => {
    const {client, faults, update, close} = await start();
    t.teardown(close);
    update(createVmList());
    await client.fetch(LONG_TIMEOUT);
    faults.set({kind: 'lag', lagMs: 1e9});
    update(createVmList('leaving'));
    const shown = await client.fetch(LONG_TIMEOUT);
    t.deepEqual(shown, {ok: true, value: createVmList()});
    faults.clear();
    const latest = await client.fetch(LONG_TIMEOUT);
    t.deepEqual(latest, {ok: true, value: createVmList('leaving')});
  });
}

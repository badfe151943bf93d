/** The platform's VM list over loopback HTTP, as docs/PROTOCOLS.md specifies it. */

import type {EndpointInfo, VmInfo, VmList} from '@radishyoke/shared/endpoint';
import {FaultPlan, TransportFault} from './fault_plan.js';
import {
  createNotFound,
  FaultyHttpServer,
  HttpStandIn,
  sendJson,
} from './http_server.js';
import {VmListModel} from './vm_list_model.js';

export type VmListFault =
  | TransportFault
  /** Readers get the list as it was `lagMs` ago. */
  | {readonly kind: 'lag'; readonly lagMs: number};

/** A running VM list. */
export interface FakeVmList extends HttpStandIn {
  readonly faults: FaultPlan<VmListFault>;
  update(list: VmList): void;
  putEndpoint(endpoint: EndpointInfo): void;
  putVm(vm: VmInfo): void;
  remove(id: string): void;
}

/** Options to start a VM list with; port 0 picks a free port. */
export interface FakeVmListOptions {
  readonly port?: number;
  readonly list?: VmList;
  readonly lagMs?: number;
}

export async function startFakeVmList(
  options: FakeVmListOptions = {},
): Promise<FakeVmList> {
  const defaultLagMs = options.lagMs ?? 0;
  const model = new VmListModel(options.list, defaultLagMs);
  const faults = new FaultPlan<VmListFault>();
  faults.onChange(() =>
    model.setLag(faults.find('lag')?.lagMs ?? defaultLagMs),
  );
  const server = await FaultyHttpServer.start(
    (req, res, url) => {
      if (req.method !== 'GET' || url.pathname !== '/vms')
        throw createNotFound();
      sendJson(res, 200, model.read(Date.now()));
    },
    faults.asTransport(),
    options.port,
  );
  return {
    faults,
    address: server.address,
    close: () => server.close(),
    update: list => model.update(list, Date.now()),
    putEndpoint: endpoint => model.putEndpoint(endpoint, Date.now()),
    putVm: vm => model.putVm(vm, Date.now()),
    remove: id => model.remove(id, Date.now()),
  };
}

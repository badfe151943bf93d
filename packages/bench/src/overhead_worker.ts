/** Child process of the `overhead` experiment: runs the service or the bare proxy. */

import type {AddressInfo} from 'node:net';
import {silentLogger} from '@radishyoke/daemon/logger';
import {parseSettings} from '@radishyoke/daemon/settings/settings';
import {Vm} from '@radishyoke/daemon/vm';
import {publishInitialConfig, startStandIns} from '@radishyoke/fakes/stand_ins';
import {toDataCentreId, toEndpointId} from '@radishyoke/shared/ids';
import {createPassThrough} from './overhead.js';

const rules = `[config]
team = apps

[rule.all]
then.group = back
then.class = interactive
`;

async function startService(backEnd: string): Promise<string> {
  const standIns = await startStandIns({
    model: 'none',
    engineGroup: 'none',
    serviceGroup: 'none',
    engines: 0,
    services: 0,
    dataCentres: ['a'],
  });
  standIns.vmList.putEndpoint({
    id: toEndpointId('back-1'),
    kind: 'service',
    address: backEnd,
    dataCentre: toDataCentreId('a'),
    group: 'back',
    state: 'live',
    checksFencing: false,
  });
  publishInitialConfig(standIns, 'apps', rules);
  const parsed = parseSettings(
    `[vm]
id = entry-1
data_centre = a
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
[platform]
log = ${standIns.log.address}
vm_list = ${standIns.vmList.address}
weight_store = ${standIns.weightStore.address}
[peers]
shared_key = a-key-for-measuring
[tenants]
app = apps
`,
    'settings of the measurement',
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  const vm = new Vm({settings: parsed.value, logger: silentLogger, seed: 1});
  const address = await vm.start();
  for (;;) {
    const res = await fetch(`http://${address}/readyz`);
    await res.text();
    if (res.ok) return address;
  }
}

async function startBaseline(backEnd: string): Promise<string> {
  const server = createPassThrough(backEnd);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

const [, , kind, backEnd] = process.argv;
const listenAddress =
  kind === 'service' ? startService(backEnd) : startBaseline(backEnd);

process.on('message', async query => {
  process.send!(query === 'address' ? await listenAddress : readCpuUs());
});
process.once('disconnect', () => process.exit());

function readCpuUs(): number {
  const {user, system} = process.cpuUsage();
  return user + system;
}

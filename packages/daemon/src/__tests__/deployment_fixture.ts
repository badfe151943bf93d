/** A small deployment over real sockets for tests of complete VMs. */

import {TrainerClient} from '@radishyoke/client/trainer_client';
import {
  publishInitialConfig,
  StandIns,
  startStandIns,
} from '@radishyoke/fakes/stand_ins';
import {waitUntilReady} from '@radishyoke/fakes/wait_until_ready';
import {
  toDataCentreId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {StepRequest} from '@radishyoke/shared/rollout';
import {silentLogger} from '../logger.js';
import {parseSettings, Settings} from '../settings/settings.js';
import {Vm} from '../vm.js';

const rules = `[config]
team = growers

[rule.file-note]
when.tenant = notebook
when.method = POST
then.group = notebook
then.class = interactive
then.idempotent = no

[rule.notebook]
when.tenant = notebook
then.group = notebook
then.class = interactive

[rule.drafts]
when.tenant = trainer
when.class = rollout
then.group = drafting
then.class = rollout
then.max_attempts = 6
`;

const settingsText = `[vm]
id = entry
data_centre = salto
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
admin_address = 127.0.0.1:0
[platform]
log = 127.0.0.1:1
vm_list = 127.0.0.1:1
weight_store = 127.0.0.1:1
[peers]
shared_key = a-key-for-tests-only
[leases]
session_ttl = 1s
session_renewal = 300ms
[shutdown]
notice = 100ms
[tenants]
trainer = growers
notebook = growers
`;

export interface Deployment {
  readonly standIns: StandIns;
  readonly vms: readonly Vm[];
  readonly origins: readonly string[];
  /**
   * Starts one more VM; resolves with its origin without waiting until it is
   * ready.
   */
  addVm(): Promise<string>;
  createClient(origins?: readonly string[]): TrainerClient;
  close(): Promise<void>;
}

function createSettings(id: string, standIns: StandIns): Settings {
  const parsed = parseSettings(settingsText, 'test settings');
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  return {
    ...parsed.value,
    vm: {...parsed.value.vm, id: toVmId(id)},
    platform: {
      ...parsed.value.platform,
      log: standIns.log.address,
      vmList: standIns.vmList.address,
      weightStore: standIns.weightStore.address,
    },
    tenants: new Map(
      ['trainer', 'notebook'].map(name => [
        toTenantId(name),
        toTeamId('growers'),
      ]),
    ),
  };
}

/**
 * Starts three engines, two plain services and `vmCount` VMs in front of them.
 */
export async function startDeployment(vmCount: number): Promise<Deployment> {
  const standIns = await startStandIns({
    model: 'drafts',
    engineGroup: 'drafting',
    serviceGroup: 'notebook',
    engines: 3,
    services: 2,
    dataCentres: ['salto', 'mercedes'],
    engine: {length: {medianTokens: 40, sigma: 0.5}, fetchMs: 20, swapMs: 20},
    serviceTimeMs: 5,
  });
  standIns.weightStore.publish('drafts', 1);
  publishInitialConfig(standIns, 'growers', rules);
  const vms: Vm[] = [];
  const origins: string[] = [];
  const addVm = async () => {
    const seed = vms.length + 1;
    const settings = createSettings(`entry-${seed}`, standIns);
    const vm = new Vm({settings, logger: silentLogger, seed});
    const callerAddress = await vm.start();
    vms.push(vm);
    origins.push(`http://${callerAddress}`);
    standIns.putVm({
      id: settings.vm.id,
      peerAddress: vm.peerAddress,
      callerAddress,
      dataCentre: toDataCentreId('salto'),
      state: 'live',
    });
    return origins[origins.length - 1];
  };
  for (let i = 0; i < vmCount; i++) await addVm();
  await Promise.all(origins.map(waitUntilReady));
  return {
    standIns,
    vms,
    origins,
    addVm,
    createClient: (used = origins) =>
      new TrainerClient({origins: used, tenant: toTenantId('trainer')}),
    close: async () => {
      await Promise.all(vms.map(vm => vm.stop()));
      await standIns.close();
    },
  };
}

/** Creates a step request of `groups` groups with four samples each. */
export function createStepRequest(groups: number): StepRequest {
  return {
    model: 'drafts',
    weightVersion: 1,
    maxStaleness: 2,
    timeoutMs: 60_000,
    groups: Array.from({length: groups}, (_, index) => ({
      prompt: `visit note ${index}: pasture after rain`,
      samples: 4,
      maxTokens: 120,
    })),
  };
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

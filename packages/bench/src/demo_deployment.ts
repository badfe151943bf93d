/**
 * The deployment of the demonstration: two VMs configured from the example files, and
 * stand-ins for everything outside the service, all on loopback.
 */

import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {hashToken, mintToken} from '@radishyoke/daemon/admin/admin_token';
import {createLogger, Logger, silentLogger} from '@radishyoke/daemon/logger';
import {
  parseSettings,
  Settings,
  TokenSettings,
} from '@radishyoke/daemon/settings/settings';
import {Vm} from '@radishyoke/daemon/vm';
import {
  publishInitialConfig,
  StandIns,
  startStandIns,
} from '@radishyoke/fakes/stand_ins';
import {waitUntilReady} from '@radishyoke/fakes/wait_until_ready';
import {toDataCentreId, toTeamId, toVmId} from '@radishyoke/shared/ids';

/** Model that the engines of the demonstration serve. */
export const demoModel = 'hint-tutor';

const team = toTeamId('kodkutu');
const tokenName = 'operator';
const tokenLifetimeMs = 86_400_000;
const dataCentres = ['gebze-a', 'gebze-b', 'kartal'];
const vmDataCentres = ['gebze-a', 'kartal'];

/** Listening ports of one VM; 0 lets the system choose a free port. */
export interface DemoPorts {
  readonly caller: number;
  readonly admin: number;
}

const freePorts: DemoPorts = {caller: 0, admin: 0};
/** Ports that the commands in the documentation use. */
const fixedPorts: readonly DemoPorts[] = [
  {caller: 7100, admin: 7102},
  {caller: 7110, admin: 7112},
];

export class DemoDeployment {
  readonly vms: Vm[] = [];
  /** `http://ip:port` of each VM's caller listener. */
  readonly origins: string[] = [];
  standIns!: StandIns;
  /** Token for the administration API that has every role. */
  token = '';

  constructor(private readonly ports: readonly DemoPorts[] = []) {}

  async start(): Promise<void> {
    this.standIns = await startDemoStandIns();
    this.standIns.weightStore.publish(demoModel, 1);
    const rules = await readExample('rules-kodkutu.ini');
    publishInitialConfig(this.standIns, team, rules);
    const text = await readExample('settings.ini');
    const parsed = parseSettings(text, 'examples/settings.ini');
    if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
    const tokens = [await this.createToken()];
    for (const [index, dataCentre] of vmDataCentres.entries()) {
      const ports = this.ports[index] ?? freePorts;
      const id = `entry-${index + 1}`;
      const settings = this.adaptSettings(parsed.value, id, dataCentre, ports);
      await this.startVm({...settings, tokens});
    }
    await Promise.all(this.origins.map(waitUntilReady));
    console.log(`two VMs serve callers at ${this.origins.join(' and ')}`);
  }

  async close(): Promise<void> {
    await Promise.all(this.vms.map(vm => vm.stop()));
    await this.standIns?.close();
  }

  private async createToken(): Promise<TokenSettings> {
    this.token = mintToken(tokenName);
    return {
      name: tokenName,
      team,
      roles: ['read', 'publish', 'audit'],
      hash: await hashToken(this.token),
      expiresAtMs: Date.now() + tokenLifetimeMs,
    };
  }

  private async startVm(settings: Settings): Promise<void> {
    const {id, dataCentre} = settings.vm;
    const seed = this.vms.length + 1;
    const vm = new Vm({settings, logger: createDemoLogger(id), seed});
    const callerAddress = await vm.start();
    this.vms.push(vm);
    this.origins.push(`http://${callerAddress}`);
    const {peerAddress} = vm;
    const state = 'live';
    this.standIns.putVm({id, peerAddress, callerAddress, dataCentre, state});
  }

  /** Returns the example settings with one VM's ports and the stand-ins' addresses. */
  private adaptSettings(
    settings: Settings,
    id: string,
    dataCentre: string,
    ports: DemoPorts,
  ): Settings {
    const {log, vmList, weightStore} = this.standIns;
    return {
      ...settings,
      vm: {
        id: toVmId(id),
        dataCentre: toDataCentreId(dataCentre),
        callerAddress: `127.0.0.1:${ports.caller}`,
        peerAddress: '127.0.0.1:0',
        adminAddress: `127.0.0.1:${ports.admin}`,
      },
      platform: {
        ...settings.platform,
        log: log.address,
        vmList: vmList.address,
        weightStore: weightStore.address,
      },
      peers: {...settings.peers, seeds: []},
    };
  }
}

/** Keeps a deployment running for manual requests until SIGINT. */
export async function holdDemo(): Promise<void> {
  const deployment = new DemoDeployment(fixedPorts);
  try {
    await deployment.start();
    const admin = deployment.vms.map(vm => vm.adminAddress).join(',');
    console.log(`export RADISHYOKE_ADMIN=${admin}`);
    console.log(`export RADISHYOKE_TOKEN=${deployment.token}`);
    await new Promise(resolve => process.once('SIGINT', resolve));
  } finally {
    await deployment.close();
  }
}

function startDemoStandIns(): Promise<StandIns> {
  return startStandIns({
    model: demoModel,
    engineGroup: 'tutors',
    serviceGroup: 'app',
    engines: 6,
    services: 3,
    dataCentres,
    engine: {
      length: {medianTokens: 60, sigma: 0.7},
      decodeBaseMs: 4,
      swapMs: 100,
      fetchMs: 100,
    },
    serviceTimeMs: 2,
  });
}

/** Logs to stderr if RADISHYOKE_DEMO_LOG is set; otherwise VMs don't log. */
function createDemoLogger(vm: string): Logger {
  if (!process.env['RADISHYOKE_DEMO_LOG']) return silentLogger;
  return createLogger('info', {vm}, line => process.stderr.write(`${line}\n`));
}

async function readExample(name: string): Promise<string> {
  const url = new URL(`../../../examples/${name}`, import.meta.url);
  return readFile(fileURLToPath(url), 'utf8');
}

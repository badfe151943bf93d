/** One VM of the drill: a process that runs `radishyoke serve`. */

import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {endWithParent} from '@radishyoke/fakes/child_processes';
import type {VmInfo} from '@radishyoke/shared/endpoint';
import {toDataCentreId, toVmId} from '@radishyoke/shared/ids';

const CLI_MAIN = fileURLToPath(
  new URL('../../cli/dist/main.js', import.meta.url),
);
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
const PROBE_TIMEOUT_MS = 400;
const BALANCER_POLL_INTERVAL_MS = 100;

/** Addresses of the stand-ins for the platform. */
export interface PlatformAddresses {
  readonly log: string;
  readonly vmList: string;
  readonly weightStore: string;
}

export class DrillVm {
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);
  /** Whether the load balancer sends calls to this VM. */
  inRotation = false;

  private constructor(
    readonly info: VmInfo,
    private readonly settingsPath: string,
    private readonly logPath: string,
  ) {}

  /** Writes the settings file of a VM without starting its process. */
  static async create(
    index: number,
    directory: string,
    platform: PlatformAddresses,
  ): Promise<DrillVm> {
    const [caller, peer, admin] = await findFreePorts(3);
    const info: VmInfo = {
      id: toVmId(`entry-${index}`),
      peerAddress: `127.0.0.1:${peer}`,
      callerAddress: `127.0.0.1:${caller}`,
      dataCentre: toDataCentreId(index % 2 === 0 ? 'gebze-a' : 'kartal'),
      state: 'live',
    };
    const settingsPath = join(directory, `${info.id}.ini`);
    writeFileSync(settingsPath, createSettings(info, admin, platform));
    return new DrillVm(info, settingsPath, join(directory, `${info.id}.log`));
  }

  get origin(): string {
    return `http://${this.info.callerAddress}`;
  }

  /** Starts the process; resolves when it is ready for callers. */
  async start(): Promise<void> {
    this.launch();
    await this.waitUntilReady();
  }

  launch(): void {
    const output = openSync(this.logPath, 'a');
    const args = [CLI_MAIN, 'serve', this.settingsPath];
    const stdio = ['ignore', output, output] as const;
    const child = spawn(process.execPath, args, {stdio: [...stdio]});
    closeSync(output);
    this.child = child;
    endWithParent(child);
    this.exited = new Promise(resolve => {
      child.once('exit', code => resolve(code));
    });
  }

  async waitUntilReady(): Promise<void> {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > endMs) {
        throw new Error(`${this.info.id} is not ready; see ${this.logPath}`);
      }
      await sleep(POLL_MS);
    }
    this.inRotation = true;
  }

  async isReady(): Promise<boolean> {
    try {
      const res = await request(`${this.origin}/readyz`, {
        headersTimeout: PROBE_TIMEOUT_MS,
        bodyTimeout: PROBE_TIMEOUT_MS,
      });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Kills the process, so that it can't shut down gracefully. */
  async kill(): Promise<void> {
    this.inRotation = false;
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Shuts the process down gracefully; resolves with its exit code. */
  async drain(): Promise<number | null> {
    this.child?.kill('SIGTERM');
    let hasExited = false;
    const exited = this.exited.finally(() => (hasExited = true));
    // Polls readiness like a load balancer, which notices the change late.
    while (!hasExited && (await this.isReady()))
      await sleep(BALANCER_POLL_INTERVAL_MS);
    this.inRotation = false;
    return exited;
  }
}

function createSettings(
  info: VmInfo,
  adminPort: number,
  platform: PlatformAddresses,
): string {
  return [
    '[vm]',
    `id = ${info.id}`,
    `data_centre = ${info.dataCentre}`,
    `caller_address = ${info.callerAddress}`,
    `peer_address = ${info.peerAddress}`,
    `admin_address = 127.0.0.1:${adminPort}`,
    '[platform]',
    `log = ${platform.log}`,
    `vm_list = ${platform.vmList}`,
    `weight_store = ${platform.weightStore}`,
    '[peers]',
    'shared_key = the-key-of-the-drill-alone',
    '[shutdown]',
    'notice = 500ms',
    'max_drain = 20s',
    '[tenants]',
    'trainer-1 = kodkutu',
    'trainer-2 = kodkutu',
    'lesson-app = kodkutu',
    '',
  ].join('\n');
}

/** Returns ports that are free now; the VM binds them shortly afterwards. */
async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', () => resolve());
      });
      return server;
    }),
  );
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  return ports;
}

export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

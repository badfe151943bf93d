/**
 * What the scripts of cases 4 to 8 share: a small deployment on loopback. The store
 * and the control API are the project's stand-ins; workers and callers are in
 * `workers.mjs` and in the cases. Each VM is a process that is started with the
 * command of the deploy file, on a loopback address of its own.
 */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {LogModel} from '../platform/dist/stand_in/log_model.js';
import {PlatformApi} from '../platform/dist/stand_in/platform_api.js';
import {StoreServer} from '../platform/dist/stand_in/store_server.js';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Whether the case is run with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of the small site, as its settings name them. */
export const BOUNDS = {
  stableWindowMs: 3000,
  configApplyMs: 2000,
  drainMs: 2000,
  graceMs: 8000,
  heartbeatMs: 1200,
};

const READY_TIMEOUT_MS = 20_000;

/** Writes what was sent, answered and run. */
export class Recorder {
  #lines = [];
  #startMs = performance.now();

  constructor(folder) {
    this.file = path.join(fileURLToPath(folder), 'record.txt');
  }

  get nowMs() {
    return performance.now() - this.#startMs;
  }

  write(text) {
    this.#lines.push(`${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}`);
  }

  save() {
    return writeFile(this.file, this.#lines.join('\n') + '\n');
  }
}

export class Stage {
  log = new LogModel();
  vms = [];
  folder = '';

  /** Starts the store, the control API and `count` VMs with the first manifest. */
  static async start(count, manifest, options = {}) {
    const stage = new Stage();
    try {
      await stage.#startAll(count, manifest, options);
      return stage;
    } catch (err) {
      await stage.stop();
      throw err;
    }
  }

  async #startAll(count, manifest, options) {
    this.folder = await mkdtemp(path.join(tmpdir(), 'radishyoke-review-'));
    this.store = await StoreServer.open(this.log);
    this.api = await PlatformApi.open({isFencingEnforced: true});
    this.options = options;
    this.command = await readRunCommand();
    this.putConfig(manifest);
    for (let i = 0; i < count; i++) await this.#addVm(i);
    this.endWithProcess();
  }

  /** Publishes a manifest; the store acknowledges it at once. */
  putConfig(manifest) {
    this.log.putKey(
      'keyed.op',
      'config',
      Buffer.from(JSON.stringify(manifest)),
    );
  }

  async #addVm(index) {
    const {pid} = process;
    const ip = `127.${64 + index}.${(pid >> 8) & 255}.${1 + (pid % 250)}`;
    const [front, ready] = [await findPort(ip), await findPort(ip)];
    const vm = {
      name: `edge-${index}`,
      ip,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      lines: [],
      child: undefined,
    };
    vm.settings = path.join(this.folder, `${vm.name}.toml`);
    const text = createSettings(vm, this.store.address, this.api, this.options);
    await writeFile(vm.settings, text);
    this.vms.push(vm);
    this.startVm(vm);
  }

  startVm(vm) {
    const [program, ...args] = this.command;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, RADISHYOKE_NODE_FILE: vm.settings},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    vm.child = child;
    vm.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => resolve(signal ?? code)),
    );
    let rest = '';
    child.stdout.setEncoding('utf8').on('data', text => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      vm.lines.push(...lines);
    });
  }

  async waitUntilReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const {ready, name} of this.vms) {
      while ((await getStatus(ready, '/radishyoke/readyz')) !== 200) {
        if (performance.now() > untilMs) throw new Error(`${name} not ready`);
        await sleep(50);
      }
    }
  }

  /** Counts the lines of all VMs that contain `text`. */
  countLines(text) {
    return this.vms
      .flatMap(({lines}) => lines)
      .filter(line => line.includes(text)).length;
  }

  endWithProcess() {
    process.once('exit', () => {
      for (const {child} of this.vms) child?.kill('SIGKILL');
    });
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => process.exit(COULD_NOT_RUN));
    }
  }

  async stop() {
    for (const {child} of this.vms) child?.kill('SIGKILL');
    await Promise.all(this.vms.map(({exited}) => exited));
    await this.store?.close();
    await this.api?.close();
    if (this.folder) await rm(this.folder, {recursive: true, force: true});
  }
}

/** Runs a case and exits with its code; `play` resolves with the list of what broke the rule. */
export async function runCase(folder, play) {
  const record = new Recorder(folder);
  let code;
  try {
    const broken = await play(record);
    for (const text of broken) record.write(`BROKEN ${text}`);
    record.write(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    code = broken.length > 0 ? BROKEN : HELD;
  } catch (err) {
    record.write(`could not run: ${err.stack ?? err}`);
    code = COULD_NOT_RUN;
  }
  await record.save();
  process.exit(code);
}

async function readRunCommand() {
  const text = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "node (.*)"$/m.exec(text)?.[1];
  if (!run) throw new Error('the deploy file has no run line');
  return [process.execPath, ...run.split(' ')];
}

function findPort(ip) {
  const server = net.createServer();
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

function createSettings(vm, store, api, {usage = false}) {
  const duties = usage
    ? `[CloudApi]\nAddress = "${api.address}"\nDuties = ["metering"]\n`
    : '';
  const contracts = usage ? '"tenants","leader",' : '';
  const windows = usage ? 'ReportWindowS = 5\nUsageLateS = 10\n' : '';
  return `NodeName = "${vm.name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "${vm.ip}"
Zone = "z0"
Region = "r0"
IsBootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = ${BOUNDS.heartbeatMs}
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch",${contracts}"platform"]
[Zones]
z0 = "r0"
[Listen]
Front = "${vm.front}"
ReadinessAddr = "${vm.ready}"
[Limits]
CpuShare = 0.675
Cores = 2
MemoryMb = 410
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
StableWindowMs = ${BOUNDS.stableWindowMs}
AckMs = 4000
DrainMs = ${BOUNDS.drainMs}
GraceS = ${BOUNDS.graceMs / 1000}
LossSlackMs = 200
ConfigApplyMs = ${BOUNDS.configApplyMs}
RevertSlackMs = 250
RecoveryS = 12
StatusS = 120
CancelMs = 3000
SettleMs = 1000
FencingEnforced = true
LeaseMs = 3000
ThawMs = 300
${windows}[Platform]
Address = "${store}"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartitionMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartitionMb = 200
TtlMinMs = 1000
${duties}`;
}

/** Sends one request; resolves with the status and body, or with what went wrong. */
export function call({address, agent = false, timeoutMs = 5000, ...request}) {
  const [host, port] = address.split(':');
  const {method = 'POST', path: target, headers = {}, body = ''} = request;
  return new Promise(resolve => {
    const req = http.request({
      host,
      port,
      method,
      path: target,
      headers: {...headers, 'Content-Length': Buffer.byteLength(body)},
      agent,
    });
    const timer = setTimeout(() => {
      resolve({problem: 'no answer'});
      req.destroy();
    }, timeoutMs);
    const finish = outcome => {
      clearTimeout(timer);
      resolve(outcome);
    };
    req.on('error', err => finish({problem: err.code ?? err.message}));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', err =>
        finish({status: res.statusCode, problem: err.code ?? err.message}),
      );
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        const {statusCode: status, headers: answerHeaders} = res;
        finish({status, text, headers: answerHeaders});
      });
    });
    req.end(body);
  });
}

async function getStatus(address, target) {
  const answer = await call({
    address,
    method: 'GET',
    path: target,
    timeoutMs: 1000,
  });
  return answer.status;
}

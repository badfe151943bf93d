/**
 * A small deployment for the scripts of the review: VMs run the program of the
 * deploy file as separate processes; the store, the model workers and the
 * operator are stand-ins that follow the users' pages. All of it is on loopback.
 */

import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import readline from 'node:readline';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {LogModel} from '../platform/dist/stand_in/log_model.js';
import {StoreServer} from '../platform/dist/stand_in/store_server.js';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
export const HOST = 'ficu95.example';
export const SERVICE = 'huvo11a';
export const PLAIN_SERVICE = 'xano55b';
export const PLAIN_PREFIX = '/lohu930/';
export const MODEL = 'daka510000';
/** Time between two reports of a worker to the store, ms. */
const HEARTBEAT_MS = 1200;

export const isTroubled = process.env['TROUBLE'] !== '0';

/** Writes what was sent, answered and run into `record.txt`. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startMs = performance.now();
    writeFileSync(this.file, '');
    this.add(`TROUBLE=${isTroubled ? 1 : 0}`);
  }

  now() {
    return Math.round(performance.now() - this.startMs);
  }

  add(text) {
    appendFileSync(
      this.file,
      `${String(this.now()).padStart(6)} ms  ${text}\n`,
    );
  }
}

/** Makes one HTTP call; resolves with undefined if no complete answer came. */
export function call(address, method, target, {headers, body, timeoutMs}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const req = http.request({
      host,
      port,
      method,
      path: target,
      headers: {Host: HOST, ...headers},
      agent: false,
    });
    const timer = setTimeout(() => {
      resolve(undefined);
      req.destroy();
    }, timeoutMs);
    const finish = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    req.on('error', () => finish(undefined));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', () => finish(undefined));
      res.on('end', () =>
        res.complete
          ? finish({
              status: res.statusCode,
              headers: res.headers,
              body: Buffer.concat(chunks),
            })
          : finish(undefined),
      );
    });
    req.end(body);
  });
}

async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/**
 * The link of one VM to the store. `mode` is `serves`, or `busy`: each call gets
 * 503 and nothing is done. `losesAnswer` decides for each append whether its
 * answer is lost: it is done, and its connection returns nothing further.
 */
class StoreLink {
  mode = 'serves';
  losesAnswer = () => false;

  constructor(target) {
    this.target = target;
    this.deadSockets = new WeakSet();
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async open() {
    this.address = await listen(this.server);
    return this;
  }

  async serve(req, res) {
    const body = await readAll(req);
    if (this.deadSockets.has(req.socket)) return;
    if (this.mode === 'busy') {
      res.writeHead(503).end();
      return;
    }
    const [host, port] = this.target.split(':');
    const {method, url} = req;
    const upstream = http.request({
      host,
      port,
      method,
      path: url,
      agent: false,
    });
    res.once('close', () => upstream.destroy());
    upstream.on('error', () => res.destroy());
    upstream.on('response', async answer => {
      const bytes = await readAll(answer).catch(() => undefined);
      if (!bytes) return;
      const isAppend = url.startsWith('/radishyoke/log-append');
      if (isAppend && this.losesAnswer(new URL(url, 'http://store'), body)) {
        this.deadSockets.add(req.socket);
        return;
      }
      // A store that turns a VM away does so for calls that wait, too.
      if (this.mode === 'busy') {
        res.writeHead(503).end();
        return;
      }
      res.writeHead(answer.statusCode, {'Content-Length': bytes.length});
      res.end(bytes);
    });
    upstream.setHeader('Content-Length', body.length);
    upstream.end(body);
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () =>
      resolve(`127.0.0.1:${server.address().port}`),
    );
  });
}

/**
 * A model worker. It writes `events` events for each item, one each `eventMs`,
 * and resumes at `Last-Event-Id`. `fails` says whether it answers a run 500.
 */
export class Worker {
  fails = () => false;
  /** Whether its texts have no length and end with their channel. */
  isUnframed = false;
  /** Whether it resets the channel in the middle of event `n` of an item. */
  resetsBefore = () => false;
  runs = [];

  constructor(id, deployment, {slots, eventMs}) {
    this.id = id;
    this.deployment = deployment;
    this.slots = slots;
    this.eventMs = eventMs;
    this.versions = new Map([[MODEL, 1]]);
    this.active = 0;
    this.orders = 0;
    this.beats = 0;
    this.highestToken = 0;
    this.isBusy = false;
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async open() {
    this.address = await listen(this.server);
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
    return this;
  }

  listModels() {
    return [...this.versions].map(([Name, Version]) => ({
      Name,
      Version,
      Adapters: [],
    }));
  }

  beat() {
    const entry = {
      Service: SERVICE,
      Address: this.address,
      Zone: 'gebze-a',
      Version: 'v1',
      Slots: this.slots,
      State: 'ready',
      ColdLeftMs: 0,
      Stage: 'both',
      Models: this.listModels(),
      Sequence: this.beats++,
    };
    this.deployment.put('keyed.servers', this.id, entry);
  }

  async serve(req, res) {
    const body = await readAll(req);
    if (req.url === '/radishyoke/report') return this.report(res);
    const expected = req.headers['x-radishyoke-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'X-Radishyoke-Instance-Id': this.id}).end();
      return;
    }
    if (req.url === '/radishyoke/order')
      return this.order(JSON.parse(body), res);
    return this.generate(req, res);
  }

  report(res) {
    const report = {
      Stage: 'both',
      Models: this.listModels(),
      Busy: this.isBusy,
      Sequence: this.orders,
      Queued: 0,
      Active: this.active,
      KvUsed: 0,
      KvTotal: 99699,
      Handles: 0,
    };
    res.writeHead(200, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(report));
  }

  order({Model, Version, FencingToken, Expected}, res) {
    const status = this.judgeOrder(Model, Version, FencingToken, Expected);
    res.writeHead(status).end();
    if (status !== 202) return;
    this.orders += 1;
    this.isBusy = true;
    setTimeout(() => {
      this.versions.set(Model, Version);
      this.isBusy = false;
      this.beat();
    }, 900);
  }

  judgeOrder(model, version, token, expected) {
    if (token < this.highestToken) return 412;
    this.highestToken = token;
    if (this.versions.get(model) === version) return 200;
    if (this.isBusy) return 409;
    if (expected !== undefined && expected !== this.orders) return 409;
    return 202;
  }

  async generate(req, res) {
    const id = String(req.headers['x-radishyoke-attempt-id']);
    const {record} = this.deployment;
    const stamp = {
      'X-Radishyoke-Attempt-Id': id,
      'X-Radishyoke-Server-Stamp': `${this.id}.${this.runs.length}`,
    };
    if (this.active >= this.slots || this.isBusy) {
      res.writeHead(503, {...stamp, 'X-Radishyoke-Not-Executed': '1'}).end();
      return;
    }
    const last = req.headers['last-event-id'];
    const run = {
      id,
      worker: this.id,
      startMs: performance.now(),
      endMs: undefined,
      events: 0,
      status: undefined,
    };
    this.runs.push(run);
    this.deployment.runs.push(run);
    const from = last === undefined ? 'the start' : `event ${last}`;
    res.once('close', () => (run.endMs = performance.now()));
    if (this.fails(id)) {
      run.status = 500;
      record.add(`worker ${this.id} runs item ${id} from ${from}: answers 500`);
      res.writeHead(500, stamp).end();
      return;
    }
    record.add(`worker ${this.id} runs item ${id} from ${from}`);
    this.active += 1;
    const {socket} = req;
    socket.once('close', () => (this.active -= 1));
    // Written to the socket itself, so that the text has no length and no chunks
    // if `isUnframed`, and ends with its channel.
    const out = this.isUnframed ? socket : res;
    const head = {
      ...stamp,
      'Content-Type': 'text/event-stream',
      'X-Radishyoke-Weight-Versions': this.versions.get(MODEL),
    };
    if (this.isUnframed) socket.write(createHead(head));
    else res.writeHead(200, head);
    const {events} = this.deployment;
    for (let n = last === undefined ? 0 : Number(last) + 1; n < events; n++) {
      await sleep(this.eventMs);
      if (out.destroyed) {
        record.add(`worker ${this.id}: item ${id} is cut before event ${n}`);
        return;
      }
      if (this.resetsBefore(id, n)) {
        record.add(
          `worker ${this.id} resets the channel of item ${id} in the middle of event ${n} of ${events}`,
        );
        out.write(`id: ${n}\ndata: ${id}`);
        socket.resetAndDestroy();
        return;
      }
      run.events += 1;
      out.write(`id: ${n}\ndata: ${id}:${n}\n\n`);
    }
    run.status = 200;
    record.add(`worker ${this.id} ends item ${id}: 200, whole`);
    out.end();
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }
}

/**
 * A plain worker whose answers have no length and end with their channel.
 * `resets` says whether it resets the channel of an answer halfway.
 */
export class PlainWorker {
  resets = () => false;

  constructor(id, deployment) {
    this.id = id;
    this.deployment = deployment;
    this.beats = 0;
    this.answers = 0;
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async open() {
    this.address = await listen(this.server);
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
    return this;
  }

  beat() {
    this.deployment.put('keyed.servers', this.id, {
      Service: PLAIN_SERVICE,
      Address: this.address,
      Zone: 'gebze-a',
      Version: 'v1',
      Slots: 6,
      State: 'ready',
      ColdLeftMs: 0,
      Sequence: this.beats++,
    });
  }

  async serve(req, res) {
    await readAll(req);
    const expected = req.headers['x-radishyoke-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'X-Radishyoke-Instance-Id': this.id}).end();
      return;
    }
    const id = String(req.headers['x-radishyoke-attempt-id']);
    const stamp = `${this.id}.${this.answers++}`;
    const body = createPlainBody(id);
    const head = createHead({
      'X-Radishyoke-Attempt-Id': id,
      'X-Radishyoke-Server-Stamp': stamp,
    });
    const {socket} = req;
    if (this.resets(id)) {
      const part = body.slice(0, body.length / 2);
      this.deployment.record.add(
        `worker ${this.id} runs request ${id}, sends ${part.length} of ${body.length} bytes and resets the channel`,
      );
      socket.write(head + part);
      socket.resetAndDestroy();
      return;
    }
    this.deployment.record.add(
      `worker ${this.id} runs request ${id}, sends ${body.length} bytes and ends the channel`,
    );
    socket.end(head + body);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** The head of an answer that ends with its channel. */
function createHead(headers) {
  const lines = Object.entries({...headers, Connection: 'close'}).map(
    ([key, value]) => `${key}: ${value}\r\n`,
  );
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`;
}

/** The whole body of a plain worker's answer, 800 bytes as in the users' sheet. */
export function createPlainBody(id) {
  return id.repeat(800).slice(0, 800);
}

/** One VM: a process of the deployed program. */
class Vm {
  lines = [];

  constructor(name, deployment) {
    this.name = name;
    this.deployment = deployment;
  }

  async open(ip) {
    this.ip = ip;
    this.storeServer = await StoreServer.open(this.deployment.log);
    this.link = await new StoreLink(this.storeServer.address).open();
    this.front = `${ip}:${await findFreePort(ip)}`;
    this.ready = `${ip}:${await findFreePort(ip)}`;
    this.settings = path.join(this.deployment.folder, `${this.name}.toml`);
    writeFileSync(this.settings, createSettings(this));
    await this.start();
    return this;
  }

  async start() {
    const [command, ...args] = await createCommand(this.ip);
    this.process = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env['PATH'],
        HOME: process.env['HOME'],
        RADISHYOKE_NODE_FILE: this.settings,
      },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.ended = new Promise(resolve => this.process.once('exit', resolve));
    readline
      .createInterface({input: this.process.stdout})
      .on('line', line => this.lines.push(line));
  }

  get isRunning() {
    const {exitCode, signalCode} = this.process ?? {};
    return exitCode === null && signalCode === null;
  }

  async kill() {
    if (!this.process) return;
    if (this.isRunning) this.process.kill('SIGKILL');
    await this.ended;
  }

  async waitUntilReady() {
    for (let i = 0; i < 300; i++) {
      const answer = await call(this.ready, 'GET', '/radishyoke/readyz', {
        timeoutMs: 1000,
      });
      if (answer?.status === 200) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready`);
  }

  close() {
    this.link?.close();
    return this.storeServer?.close();
  }
}

/** Returns the words of the deploy file's `run` line, with a free metrics port. */
async function createCommand(ip) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  const [, ...args] = run.split(' ');
  const port = args.indexOf('--metrics-port') + 1;
  if (port > 0) args[port] = String(await findFreePort(ip));
  return [process.execPath, ...args];
}

function findFreePort(ip) {
  const server = net.createServer();
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The settings of a machine of `sites/kodkutu-rl.toml`, on loopback. */
function createSettings({name, ip, front, ready, link}) {
  return `NodeName = "${name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "${ip}"
Zone = "gebze-a"
Region = "marmara"
IsBootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = ${HEARTBEAT_MS}
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[Zones]
gebze-a = "marmara"
[Listen]
Front = "${front}"
ReadinessAddr = "${ready}"
[Limits]
CpuShare = 0.675
Cores = 2
MemoryMb = 410
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 5.2
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RevertSlackMs = 250
OuterMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 10
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOverage = 0.1
FencingEnforced = true
LeaseMs = 3000
ThawMs = 300
[Platform]
Address = "${link.address}"
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
`;
}

/** A rollout route as `fleetbench wire` shows it. */
export function createRoute(name, prefix) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: prefix,
    RouteKind: 'rollout',
    TimeoutMs: 10000,
    SloMs: 400,
    Priority: 1,
    Service: SERVICE,
    Attempts: 3,
    RetentionS: 40.0,
    DueMs: 7500,
    SingleVersion: false,
    Sticky: true,
    Resumable: true,
  };
}

export class Deployment {
  log = new LogModel();
  vms = [];
  workers = [];
  /** All runs of items at workers, in order. */
  runs = [];
  plainWorkers = [];
  routes = [
    createRoute('r-first', '/pufi791/'),
    {
      Name: 'r-plain',
      Host: HOST,
      PathPrefix: PLAIN_PREFIX,
      RouteKind: 'idempotent',
      TimeoutMs: 800,
      SloMs: 185,
      Priority: 2,
      Service: PLAIN_SERVICE,
      Attempts: 2,
    },
  ];
  version = 0;

  constructor(record, {events, slots = 16}) {
    this.record = record;
    this.slots = slots;
    /** Number of events of each item. */
    this.events = events;
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  }

  put(topic, key, value) {
    this.log.putKey(topic, key, Buffer.from(JSON.stringify(value)));
  }

  /** Writes the next manifest; the store's answer is the acknowledgement. */
  publish() {
    this.version += 1;
    this.put('keyed.op', 'config', {
      Version: this.version,
      Routes: this.routes,
      Services: [
        {
          Name: SERVICE,
          HealthPath: '/healthz',
          MaxConns: 170,
          Protocol: 'h1',
          Tls: false,
          Engine: {
            Slots: this.slots,
            KvCapacity: 99699,
            KvTokenBytes: 18432,
            Stride: 48,
            Models: [{Name: MODEL}],
          },
        },
        {
          Name: PLAIN_SERVICE,
          HealthPath: '/healthz',
          MaxConns: 100,
          Protocol: 'h1',
          Tls: false,
        },
      ],
      Limits: {
        MaxHeaderBytes: 16384,
        MaxBodyBytes: 33554432,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15000,
      },
    });
    this.record.add(
      `the operator's manifest ${this.version} is acknowledged: routes ${this.routes.map(({PathPrefix}) => PathPrefix).join(' ')}`,
    );
  }

  async start({vms, workers = 0, plainWorkers = 0, eventMs}) {
    const {slots} = this;
    this.publish();
    for (let i = 0; i < workers; i++) {
      const worker = new Worker(`i-${i}`, this, {slots, eventMs});
      this.workers.push(await worker.open());
    }
    for (let i = 0; i < plainWorkers; i++) {
      const worker = new PlainWorker(`p-${i}`, this);
      this.plainWorkers.push(await worker.open());
    }
    const ips = listVmIps(vms);
    for (const [i, ip] of ips.entries()) {
      const vm = new Vm(`edge-${i}`, this);
      this.vms.push(vm);
      await vm.open(ip);
    }
    await Promise.all(this.vms.map(vm => vm.waitUntilReady()));
    this.record.add(`${vms} VMs are ready`);
  }

  /** Returns the VM that last said that it is the coordinator. */
  async findCoordinator() {
    for (let i = 0; i < 200; i++) {
      for (const vm of this.vms) {
        const last = vm.lines
          .filter(line => /"coordinator (now|no more)"/.test(line))
          .at(-1);
        if (vm.isRunning && last?.includes('coordinator now')) return vm;
      }
      await sleep(50);
    }
    throw new Error('no VM is the coordinator');
  }

  async stop() {
    await Promise.all(this.vms.map(vm => vm.kill()));
    const workers = [...this.workers, ...this.plainWorkers];
    for (const worker of workers) worker.close();
    await Promise.all(this.vms.map(vm => vm.close()));
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Loopback addresses that differ between processes that run at once. */
function listVmIps(count) {
  const {pid} = process;
  const [high, low] = [(pid >> 8) & 255, pid & 255];
  return Array.from({length: count}, (_, i) => `127.${i + 100}.${high}.${low}`);
}

/** A trainer that submits one step, reads its results and ends it. */
export class Step {
  results = [];
  statuses = [];

  constructor(deployment, {id, prefix, items, timeBudgetMs = 12000}) {
    this.deployment = deployment;
    this.id = id;
    this.prefix = prefix;
    this.itemIds = Array.from({length: items}, (_, i) => `${id}-${i}`);
    this.timeBudgetMs = timeBudgetMs;
    this.next = 0;
  }

  get record() {
    return this.deployment.record;
  }

  createBody() {
    return JSON.stringify({
      Step: 0,
      Model: MODEL,
      MinVersion: 1,
      GroupCount: 1,
      Entries: this.itemIds.map((id, i) => ({
        Id: id,
        Path: `${this.prefix}3/${i}`,
        Headers: {
          'X-Radishyoke-Model': MODEL,
          'X-Radishyoke-Token-Usage': `100,${this.deployment.events * 48}`,
          'X-Radishyoke-Prompt-Prefix': `9c2e41:84,${id}:16`,
        },
        Body: Buffer.from(`prompt ${id}`).toString('base64'),
        Tokens: 100 + this.deployment.events * 48,
        Group: 'g0',
      })),
    });
  }

  /** Submits the step at one of `vms` after another until it is accepted. */
  async submit(vms = this.deployment.vms) {
    const deadlineMs = performance.now() + this.timeBudgetMs;
    for (let i = 0; performance.now() < deadlineMs; i++) {
      const vm = vms[i % vms.length];
      if (!vm.isRunning) continue;
      const answer = await call(vm.front, 'POST', `${this.prefix}${this.id}`, {
        headers: {
          'X-Radishyoke-Attempt-Id': this.id,
          'Content-Type': 'application/json',
        },
        body: this.createBody(),
        timeoutMs: 3000,
      });
      this.record.add(
        `step ${this.id} (${this.itemIds.length} items) is sent to ${vm.name}: ${answer?.status ?? 'no answer'}`,
      );
      if (answer?.status === 202) return true;
      if (answer?.status === 404) return false;
      await sleep(50);
    }
    return false;
  }

  /** Reads results until all are listed or `untilMs` has passed. */
  async collect(untilMs = this.timeBudgetMs) {
    const deadlineMs = performance.now() + untilMs;
    const {vms} = this.deployment;
    for (let i = 0; performance.now() < deadlineMs; i++) {
      if (this.results.length >= this.itemIds.length) return true;
      const vm = vms[i % vms.length];
      if (!vm.isRunning) continue;
      const target = `/radishyoke/lots/${this.id}?After=${this.next}`;
      const answer = await call(vm.front, 'GET', target, {
        headers: {'X-Radishyoke-Wait-Ms': '1000'},
        timeoutMs: 2500,
      });
      if (answer?.status !== 200) {
        this.statuses.push(answer?.status);
        await sleep(50);
        continue;
      }
      const page = JSON.parse(answer.body.toString('utf8'));
      this.next = page.NextToken;
      for (const result of page.Results) {
        this.results.push(result);
        const {Id, State, Versions} = result;
        this.record.add(
          `${vm.name} lists item ${Id}: ${State}, versions ${Versions.join() || 'none'}`,
        );
      }
    }
    return this.results.length >= this.itemIds.length;
  }

  async end() {
    for (const vm of this.deployment.vms) {
      if (!vm.isRunning) continue;
      const answer = await call(
        vm.front,
        'DELETE',
        `/radishyoke/lots/${this.id}`,
        {timeoutMs: 3000},
      );
      if (answer?.status !== 200) continue;
      this.record.add(`the end of step ${this.id} is acknowledged`);
      return;
    }
  }

  /** The output that a `done` result must have. */
  expectedOutput(id) {
    const {events} = this.deployment;
    return Array.from({length: events}, (_, n) => `${id}:${n}`).join('\n');
  }
}

/** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 otherwise. */
export async function runCase(folderUrl, options, play) {
  const record = new Record(fileURLToPath(new URL('.', folderUrl)));
  const deployment = new Deployment(record, options);
  let code = 2;
  const abandon = async reason => {
    record.add(`the case is given up: ${reason?.stack ?? reason ?? 'time'}`);
    await deployment.stop().catch(() => undefined);
    process.exit(2);
  };
  process.once('SIGTERM', abandon);
  process.once('SIGINT', abandon);
  // An uncaught error would end Node.js with 1, which says that the rule broke.
  process.once('uncaughtException', abandon);
  const timer = setTimeout(abandon, 110_000);
  try {
    await deployment.start(options);
    const broken = await play(deployment, record);
    code = broken.length > 0 ? 1 : 0;
    for (const line of broken) record.add(`BROKEN: ${line}`);
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`);
  }
  clearTimeout(timer);
  await deployment.stop();
  record.add(`exit ${code}`);
  process.exit(code);
}

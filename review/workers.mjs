/**
 * Stand-ins of workers for the cases 4 to 8: model engines that stream the events of
 * an item, and plain services that answer a call. They do what the users' pages say
 * of sound workers, except where a case sets a fault.
 */

import {Buffer} from 'node:buffer';
import http from 'node:http';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {BOUNDS} from './stage.mjs';

export const MODEL = 'm0';
/** The only version of the model; no case names another. */
const VERSION = 1;

/** An entry is removed after this many liveness reports were missed. */
const MISSED_REPORTS = 3;
let nextLife = 1;

export class Worker {
  /** Requests that began to run: id, path, time. */
  runs = [];
  /** Requests that arrived, also those that were refused. */
  arrivals = [];
  crashes = [];
  /** Ids of the requests that run now, and when each was last at this worker. */
  active = new Set();
  lastActiveMs = new Map();
  isDark = false;
  isStopped = false;
  /** Decides what happens to a request: `run`, `reset`, or `crash`. */
  chooseFate = () => 'run';
  #sockets = new Set();
  /** Channels that were opened while the worker was dark. */
  #silent = new WeakSet();
  #active = 0;
  #sequence = 0;

  static async start(stage, record, cfg) {
    const worker = new Worker();
    Object.assign(worker, {stage, record, cfg, id: createId(cfg)});
    worker.server = http.createServer((req, res) => {
      worker.#serve(req, res).catch(() => res.destroy());
    });
    worker.server.on('connection', socket => {
      worker.#sockets.add(socket);
      socket.once('close', () => worker.#sockets.delete(socket));
    });
    worker.server.keepAliveTimeout = 15_000;
    await new Promise(resolve => worker.server.listen(0, '127.0.0.1', resolve));
    worker.address = `127.0.0.1:${worker.server.address().port}`;
    worker.#startReports();
    return worker;
  }

  stop() {
    this.isStopped = true;
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Leaves without a report: the entry goes, and the worker keeps on serving. */
  removeEntry() {
    clearInterval(this.timer);
    this.stage.log.putKey('keyed.servers', this.id, undefined);
  }

  async #crash(id) {
    const run = this.runs.findLast(each => each.id === id);
    this.crashes.push({...run, crashMs: this.record.nowMs});
    this.record.write(`${this.id} crashes while it runs ${id}`);
    await this.crashFor(this.cfg.downMs);
  }

  /** Crashes as a process does: its channels are reset and new ones are refused. */
  async crashFor(downMs) {
    const {port} = this.server.address();
    this.#forgetEntryLater();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await new Promise(resolve => this.server.close(resolve));
    await sleep(downMs);
    if (this.isStopped) return;
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    this.#startLife();
  }

  /**
   * Crashes and is back after `downMs` in a new life. It is silent until then, as a
   * machine without power is: no channel is closed, and new ones hang. The system
   * accepts those, so they stay silent for good; the others are reset at the return.
   */
  async goDark(downMs) {
    this.isDark = true;
    this.#forgetEntryLater();
    const earlier = [...this.#sockets];
    await sleep(downMs);
    for (const socket of this.#sockets) {
      if (earlier.includes(socket)) socket.resetAndDestroy();
      else this.#silent.add(socket);
    }
    this.isDark = false;
    if (!this.isStopped) this.#startLife();
  }

  /** The store removes the entry after some reports were missed. */
  #forgetEntryLater() {
    clearInterval(this.timer);
    const {id, stage} = this;
    void sleep(MISSED_REPORTS * BOUNDS.heartbeatMs).then(() =>
      stage.log.putKey('keyed.servers', id, undefined),
    );
  }

  #startLife() {
    this.#active = 0;
    this.#sequence = 0;
    this.id = createId(this.cfg);
    this.#startReports();
  }

  #startReports() {
    this.#report();
    this.timer = setInterval(() => this.#report(), BOUNDS.heartbeatMs);
  }

  #report() {
    const {service, slots, isEngine} = this.cfg;
    const entry = {
      Service: service,
      Address: this.address,
      Zone: 'z0',
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdLeftMs: 0,
      ...(isEngine ? {Stage: 'both', Models: this.#models} : {}),
      Sequence: this.#sequence++,
    };
    const value = Buffer.from(JSON.stringify(entry));
    this.stage.log.putKey('keyed.servers', this.id, value);
  }

  get #models() {
    return [{Name: MODEL, Version: VERSION, Adapters: []}];
  }

  async #serve(req, res) {
    for await (const chunk of req) void chunk;
    if (this.isDark || this.#silent.has(req.socket)) return;
    if (req.url === '/radishyoke/report') return this.#sendReport(res);
    const {headers} = req;
    const expected = headers['x-radishyoke-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, {'X-Radishyoke-Instance-Id': this.id}).end();
      return;
    }
    if (req.url === '/radishyoke/order') return this.#takeOrder(res);
    const id = headers['x-radishyoke-attempt-id'];
    const arrival = {id, path: req.url, atMs: this.record.nowMs};
    this.arrivals.push(arrival);
    if (this.#active >= this.cfg.slots) {
      res.writeHead(503, {'X-Radishyoke-Not-Executed': '1'}).end();
      return;
    }
    switch (this.chooseFate(arrival)) {
      case 'reset':
        this.record.write(`${this.id} resets ${id}`);
        req.socket.resetAndDestroy();
        return;
      case 'crash':
        this.runs.push(arrival);
        this.crashes.push(arrival);
        this.record.write(`${this.id} begins ${id} and crashes`);
        await this.goDark(this.cfg.downMs);
        return;
      default:
        this.runs.push(arrival);
        this.#active += 1;
        this.active.add(id);
        res.once('close', () => this.#leave(id));
        if (this.cfg.isEngine || this.cfg.streams) {
          return this.#stream(req, res, id);
        }
        return this.#answer(req, res, id);
    }
  }

  #leave(id) {
    this.#active = Math.max(this.#active - 1, 0);
    this.active.delete(id);
    this.lastActiveMs.set(id, this.record.nowMs);
  }

  #head(id) {
    return {
      'X-Radishyoke-Attempt-Id': id,
      'X-Radishyoke-Server-Stamp': `${this.id}.${nextLife++}`,
      'X-Radishyoke-Server-Load': `${this.#active},0,${this.cfg.slots}`,
    };
  }

  async #answer(req, res, id) {
    await sleep(this.cfg.workMs(req));
    if (this.isDark || res.destroyed) return;
    res.writeHead(200, this.#head(id));
    res.end(`done ${id}`);
  }

  /** Streams `X-Events` events, one each `eventMs`. */
  async #stream(req, res, id) {
    const {eventMs} = this.cfg;
    const count = Number(req.headers['x-events'] ?? 24);
    const last = req.headers['last-event-id'];
    await sleep(eventMs);
    if (this.isDark || res.destroyed) return;
    const versions = this.cfg.isEngine
      ? {'X-Radishyoke-Weight-Versions': String(VERSION)}
      : {};
    res.writeHead(200, {
      'Content-Type': 'text/event-stream',
      ...this.#head(id),
      ...versions,
    });
    let next = last === undefined ? 0 : Number(last) + 1;
    const crashAt = this.cfg.crashAtEvent?.({path: req.url});
    for (; next < count; next++) {
      if (next === crashAt) return this.#crash(id);
      res.write(`id: ${next}\ndata: ${id}:${next}\n\n`);
      await sleep(eventMs);
      if (this.isDark) return;
      if (res.destroyed) {
        this.record.write(`${this.id}: the VM closed the channel of ${id}`);
        return;
      }
    }
    res.end();
  }

  #sendReport(res) {
    const report = {
      Stage: 'both',
      Models: this.#models,
      Busy: false,
      Sequence: 0,
      Queued: 0,
      Active: this.#active,
      KvUsed: 0,
      KvTotal: 99_699,
      Handles: 0,
    };
    res.writeHead(200, {'Content-Type': 'application/json'});
    res.end(JSON.stringify(report));
  }

  /** No case names a new version, so each order already holds. */
  #takeOrder(res) {
    res.writeHead(200).end();
  }
}

function createId({name}) {
  return `i-${name}-${nextLife++}`;
}

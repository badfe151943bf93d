/** What one VM knows of one endpoint. */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import {ConcurrencyLimit, divideLimit} from './concurrency_limit.js';
import {EndpointHealth} from './endpoint_health.js';
import type {WorkClass} from './scheduler.js';

/** Part of an endpoint's limit that rollouts leave to interactive requests. */
const INTERACTIVE_RESERVE = 0.1;
/** A broken and a refused connection within this time make a crash; tries are up to 10 s apart. */
const LOST_CONNECTION_WINDOW_MS = 15_000;
/** Weight of the newest ms of a stream in the speed estimate. */
const SPEED_DECAY_MS = 5000;

/** The VMs that share the endpoints, as the owner of the state sees them. */
export interface VmView {
  readonly self: VmId;
  readonly vms: readonly VmId[];
}

/** A request under suspicion that runs on an endpoint. */
export interface RunningSuspect {
  readonly workId: string;
  readonly fingerprint: string;
}

/** Figures and guesses about one endpoint, kept up to date by events. */
export class EndpointState {
  readonly id: EndpointId;
  readonly limit = new ConcurrencyLimit();
  readonly health = new EndpointHealth();
  report?: LoadReport;
  weightVersion = 0;
  /** Own attempts in flight here, by class. */
  readonly running: Record<WorkClass, number> = {interactive: 0, rollout: 0};
  /** Prompt tokens of own attempts that have shown no output yet. */
  pendingPromptTokens = 0;
  /** The suspect that runs here; no other suspect goes there. */
  suspect?: RunningSuspect;
  /** Whether nothing at all goes there, as the suspect has yet to show output. */
  isQuarantined = false;
  private readonly peers = new Map<VmId, number>();
  private peerTotal = 0;
  private invalidations = 0;
  private lostConnections: Array<{
    readonly fingerprint: string;
    readonly atMs: number;
  }> = [];
  private versionObservedAtMs = 0;
  private slownessMean = 1;
  private streamMs = 0;
  private streamTokens = 0;
  private allowance = 0;
  private isAllowanceStale = true;

  constructor(public info: EndpointInfo) {
    this.id = info.id;
  }

  get inFlight(): number {
    return this.running.interactive + this.running.rollout;
  }

  /** In flight by all VMs, as far as known. */
  get totalInFlight(): number {
    return this.inFlight + this.peerTotal;
  }

  /** Tokens a second that one stream gets here, or 0 when not yet measured. */
  get streamSpeed(): number {
    return this.streamMs > 0 ? (this.streamTokens / this.streamMs) * 1e3 : 0;
  }

  /** How many times slower than an ordinary endpoint at the same load. */
  get slowness(): number {
    return this.slownessMean;
  }

  recordSlowness(ratio: number, elapsedMs: number): void {
    const weight = 1 - Math.exp(-elapsedMs / SPEED_DECAY_MS);
    this.slownessMean += weight * (ratio - this.slownessMean);
  }

  recordSpeed(tokens: number, elapsedMs: number): void {
    const decay = Math.exp(-elapsedMs / SPEED_DECAY_MS);
    this.streamTokens = this.streamTokens * decay + tokens;
    this.streamMs = this.streamMs * decay + elapsedMs;
  }

  recordReport(report: LoadReport): boolean {
    if (!this.health.recordReport(report)) return false;
    this.report = report;
    this.limit.recordReport(report);
    this.recordWeightVersion(report.weightVersion, report.measuredAtMs);
    this.isAllowanceStale = true;
    return true;
  }

  /**
   * Takes the version that the endpoint showed at `seenAtMs`. It can fall: an
   * engine that crashed may come back with what it had on its disk, and a
   * failed swap leaves the old one. A report that is older than what a stream
   * has shown since says nothing.
   */
  recordWeightVersion(version: number, observedAtMs: number): void {
    if (observedAtMs < this.versionObservedAtMs) return;
    this.versionObservedAtMs = observedAtMs;
    if (version !== this.weightVersion) this.invalidateCache();
    this.weightVersion = version;
  }

  recordPeerLoad(vm: VmId, inFlight: number): void {
    this.peerTotal += inFlight - (this.peers.get(vm) ?? 0);
    if (inFlight > 0) this.peers.set(vm, inFlight);
    else this.peers.delete(vm);
    this.isAllowanceStale = true;
  }

  /** Forgets peers that are gone. */
  retainPeers(vms: readonly VmId[]): void {
    for (const vm of this.peers.keys()) {
      if (!vms.includes(vm)) this.recordPeerLoad(vm, 0);
    }
    this.isAllowanceStale = true;
  }

  markAllowanceStale(): void {
    this.isAllowanceStale = true;
  }

  /** Whether one more of `workClass` may go there. */
  hasRoomFor(workClass: WorkClass, view: VmView): boolean {
    if (this.isQuarantined) return false;
    const limit = this.limit.limit;
    if (workClass === 'interactive') {
      // The reserve is for requests that come now and then, from any VM; what
      // peers have is known late, so own interactive work may always use it.
      const reserve = measureReserve(limit);
      return this.running.interactive < reserve || this.totalInFlight < limit;
    }
    return this.running.rollout < this.measureAllowance(view);
  }

  /** Rollouts that this VM may have in flight here. */
  measureAllowance(view: VmView): number {
    if (this.isAllowanceStale) {
      this.isAllowanceStale = false;
      this.allowance = this.computeAllowance(view);
    }
    return this.allowance;
  }

  /** A connection broke while this request ran. */
  recordLostConnection(fingerprint: string, nowMs: number): void {
    this.lostConnections = this.lostConnections.filter(
      l => nowMs - l.atMs < LOST_CONNECTION_WINDOW_MS,
    );
    this.lostConnections.push({fingerprint, atMs: nowMs});
  }

  /** Takes out the requests whose connections broke a short while ago. */
  takeLostConnections(nowMs: number): readonly string[] {
    const {lostConnections} = this;
    this.lostConnections = [];
    return lostConnections
      .filter(connection => nowMs - connection.atMs < LOST_CONNECTION_WINDOW_MS)
      .map(connection => connection.fingerprint);
  }

  /** The endpoint's cache is gone, after a crash or with new weights. */
  invalidateCache(): void {
    this.invalidations++;
  }

  /** Counts the times that the cache was lost. */
  get cacheEpoch(): number {
    return this.invalidations;
  }

  private computeAllowance(view: VmView): number {
    const limit = this.limit.limit;
    const forRollouts = Math.max(1, limit - measureReserve(limit));
    if (this.peers.size === 0) return forRollouts;
    const vms = view.vms.filter(vm => vm === view.self || this.peers.has(vm));
    // What this VM would take if it could, and what the others do take: an
    // idle VM's share is lent until its digest shows work there.
    const demands = vms.map(vm =>
      vm === view.self ? forRollouts : this.peers.get(vm)! + 1,
    );
    const shares = divideLimit(forRollouts, demands, hashOffset(this.id));
    return shares[vms.indexOf(view.self)];
  }
}

function measureReserve(limit: number): number {
  return limit <= 1 ? 1 : Math.max(1, Math.floor(limit * INTERACTIVE_RESERVE));
}

/** Spreads remainders of shares over the VMs differently for each endpoint. */
function hashOffset(id: string): number {
  let hash = 0;
  for (let i = 0; i < id.length; i++) {
    hash = (Math.imul(hash, 31) + id.charCodeAt(i)) >>> 0;
  }
  return hash;
}

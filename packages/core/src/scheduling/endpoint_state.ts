/** Stores the state of one endpoint as one VM observes it. */

import type {EndpointInfo, LoadReport} from '@radishyoke/shared/endpoint';
import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import {ConcurrencyLimit, divideLimit} from './concurrency_limit.js';
import {EndpointHealth} from './endpoint_health.js';
import type {WorkClass} from './scheduler.js';

/** Share of an endpoint's limit reserved for interactive requests. */
const INTERACTIVE_RESERVE = 0.1;
/**
 * A refused connection this soon after a broken one indicates a crash; retries
 * are up to 10 s apart.
 */
const LOST_CONNECTION_WINDOW_MS = 15_000;
/** Time constant of the decay in the speed and slowness estimates, ms. */
const SPEED_DECAY_MS = 5000;

/** This VM and all live VMs that share the endpoints. */
export interface VmView {
  readonly self: VmId;
  readonly vms: readonly VmId[];
}

/** A request suspected of crashing endpoints that runs on an endpoint. */
export interface RunningSuspect {
  readonly workId: string;
  readonly fingerprint: string;
}

/** Measurements and estimates for one endpoint, updated by events. */
export class EndpointState {
  readonly id: EndpointId;
  readonly limit = new ConcurrencyLimit();
  readonly health = new EndpointHealth();
  report?: LoadReport;
  weightVersion = 0;
  /** This VM's attempts in flight on the endpoint, by class. */
  readonly running: Record<WorkClass, number> = {interactive: 0, rollout: 0};
  /** Prompt tokens of this VM's attempts that have produced no output yet. */
  pendingPromptTokens = 0;
  /** The suspect running on the endpoint; no second suspect is sent there. */
  suspect?: RunningSuspect;
  /** Whether its suspect is isolated, so that no other requests are sent there. */
  isIsolated = false;
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

  /** Requests in flight from this VM and, as last reported, from its peers. */
  get totalInFlight(): number {
    return this.inFlight + this.peerTotal;
  }

  /** Tokens per second of one stream, or 0 when not yet measured. */
  get streamSpeed(): number {
    return this.streamMs > 0 ? (this.streamTokens / this.streamMs) * 1e3 : 0;
  }

  /** Token time relative to that of an ordinary endpoint at the same load. */
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
   * Records the weight version observed at `observedAtMs`; older observations are
   * ignored. The version can decrease: a crashed engine may restart with the
   * weights on its disk, and a failed swap leaves the old ones loaded.
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

  /** Drops the load of peers that are no longer listed. */
  retainPeers(vms: readonly VmId[]): void {
    for (const vm of this.peers.keys()) {
      if (!vms.includes(vm)) this.recordPeerLoad(vm, 0);
    }
    this.isAllowanceStale = true;
  }

  markAllowanceStale(): void {
    this.isAllowanceStale = true;
  }

  /** Whether one more request of `workClass` may be sent there. */
  hasRoomFor(workClass: WorkClass, view: VmView): boolean {
    if (this.isIsolated) return false;
    const limit = this.limit.limit;
    if (workClass === 'interactive') {
      // The reserve serves occasional requests from any VM. Peers' load is
      // reported with a delay, so this VM's interactive requests may always use it.
      const reserve = measureReserve(limit);
      return this.running.interactive < reserve || this.totalInFlight < limit;
    }
    return this.running.rollout < this.measureAllowance(view);
  }

  /** Returns the number of rollouts that this VM may have in flight there. */
  measureAllowance(view: VmView): number {
    if (this.isAllowanceStale) {
      this.isAllowanceStale = false;
      this.allowance = this.computeAllowance(view);
    }
    return this.allowance;
  }

  /** Records that the connection broke while this request ran. */
  recordLostConnection(fingerprint: string, nowMs: number): void {
    this.lostConnections = this.lostConnections.filter(
      l => nowMs - l.atMs < LOST_CONNECTION_WINDOW_MS,
    );
    this.lostConnections.push({fingerprint, atMs: nowMs});
  }

  /** Clears the broken connections; returns the fingerprints of recent ones. */
  takeLostConnections(nowMs: number): readonly string[] {
    const {lostConnections} = this;
    this.lostConnections = [];
    return lostConnections
      .filter(connection => nowMs - connection.atMs < LOST_CONNECTION_WINDOW_MS)
      .map(connection => connection.fingerprint);
  }

  /** Records that a crash or new weights cleared the endpoint's prefix cache. */
  invalidateCache(): void {
    this.invalidations++;
  }

  /** Number of times that the prefix cache was lost. */
  get cacheEpoch(): number {
    return this.invalidations;
  }

  private computeAllowance(view: VmView): number {
    const limit = this.limit.limit;
    const forRollouts = Math.max(1, limit - measureReserve(limit));
    if (this.peers.size === 0) return forRollouts;
    const vms = view.vms.filter(vm => vm === view.self || this.peers.has(vm));
    // This VM's demand is all it could use, the others' what they have in flight
    // plus one: a VM's unused share is lent until its digest shows more load.
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

/** Hashes an endpoint id to the `offset` for dividing its limit. */
function hashOffset(id: string): number {
  let hash = 0;
  for (let i = 0; i < id.length; i++) {
    hash = (Math.imul(hash, 31) + id.charCodeAt(i)) >>> 0;
  }
  return hash;
}

/**
 * The endpoints of one group, indexed so that a choice costs the same however
 * many there are: those that may get work stand in an array from which a few
 * are drawn at random.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointState, VmView} from './endpoint_state.js';
import {scoreEndpoint, ScoredWork, ScoreView} from './endpoint_score.js';
import {drawBelow, RandomBits} from './random_bits.js';
import type {WorkClass} from './scheduler.js';

/** Candidates drawn at random for a choice. */
const DRAWN_CANDIDATES = 4;
/** Endpoints tried that are believed to hold the work's prefix. */
const PREFIX_CANDIDATES = 2;
/** Draws after which a crowded group counts as full. */
const MAX_DRAWS = 12;
const MAX_PREFIXES = 20_000;

/** What a choice depends on besides the endpoints. */
export interface Choice extends ScoredWork {
  readonly workClass: WorkClass;
  readonly minWeightVersion: number;
  /** Endpoint to stay away from if there is another. */
  readonly avoid?: EndpointId;
}

export class EndpointPool {
  readonly endpoints = new Map<EndpointId, EndpointState>();
  newestVersion = 0;
  private readonly usable: EndpointState[] = [];
  private readonly open: EndpointState[] = [];
  private readonly holders = new Map<string, EndpointState[]>();

  constructor(private readonly random: RandomBits) {}

  add(endpoint: EndpointState): void {
    this.endpoints.set(endpoint.id, endpoint);
  }

  remove(endpoint: EndpointState): void {
    this.endpoints.delete(endpoint.id);
    this.setMember(this.usable, 'usable', endpoint, false);
    this.setMember(this.open, 'open', endpoint, false);
  }

  /** Brings the index up to date after anything changed at the endpoint. */
  refresh(endpoint: EndpointState, view: VmView, nowMs: number): void {
    const isUsable = this.isUsable(endpoint, nowMs);
    const isOpen = isUsable && endpoint.hasRoomFor('rollout', view);
    this.setMember(this.usable, 'usable', endpoint, isUsable);
    this.setMember(this.open, 'open', endpoint, isOpen);
    this.newestVersion = Math.max(this.newestVersion, endpoint.weightVersion);
  }

  get hasUsable(): boolean {
    return this.usable.length > 0;
  }

  get hasOpen(): boolean {
    return this.open.length > 0;
  }

  /** Remembers where a prefix was sent. */
  noteHolder(prefixKey: string, endpoint: EndpointState): void {
    if (prefixKey === '') return;
    const known = this.holders.get(prefixKey) ?? [];
    const others = known.filter(e => e !== endpoint);
    others.unshift(endpoint);
    this.holders.set(prefixKey, others.slice(0, PREFIX_CANDIDATES));
    if (this.holders.size > MAX_PREFIXES) {
      this.holders.delete(this.holders.keys().next().value!);
    }
  }

  /** The best of a few candidates, or undefined when none has room. */
  choose(
    choice: Choice,
    vms: VmView,
    view: ScoreView,
  ): EndpointState | undefined {
    const array = choice.workClass === 'rollout' ? this.open : this.usable;
    let best: EndpointState | undefined;
    let bestScore = Infinity;
    const consider = (endpoint: EndpointState): boolean => {
      if (!isEligible(endpoint, choice, vms)) return false;
      let score = scoreEndpoint(endpoint, choice, view);
      if (endpoint.id === choice.avoid) score += AVOIDED_COST_MS;
      if (score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
      return true;
    };
    if (array.length <= DRAWN_CANDIDATES + PREFIX_CANDIDATES) {
      array.forEach(consider);
      return best;
    }
    for (const endpoint of this.holders.get(choice.prefixKey) ?? []) {
      if (isMember(endpoint, choice.workClass)) consider(endpoint);
    }
    let drawn = 0;
    for (let i = 0; i < MAX_DRAWS && drawn < DRAWN_CANDIDATES; i++) {
      if (consider(array[drawBelow(this.random, array.length)])) drawn++;
    }
    return best;
  }

  private isUsable(endpoint: EndpointState, nowMs: number): boolean {
    if (!endpoint.health.isUsable(nowMs)) return false;
    // After a failure one probe at a time, until something is heard.
    return !endpoint.health.suspected || endpoint.inFlight === 0;
  }

  private setMember(
    array: EndpointState[],
    name: 'usable' | 'open',
    endpoint: EndpointState,
    isMember: boolean,
  ): void {
    const {positions} = endpoint;
    const at = positions[name];
    if (isMember === at >= 0) return;
    if (isMember) {
      positions[name] = array.length;
      array.push(endpoint);
      return;
    }
    const last = array.pop()!;
    if (last !== endpoint) {
      array[at] = last;
      last.positions[name] = at;
    }
    positions[name] = -1;
  }
}

/** What an endpoint that failed this very work counts as worse by. */
const AVOIDED_COST_MS = 60_000;

function isMember(endpoint: EndpointState, workClass: WorkClass): boolean {
  const {positions} = endpoint;
  return (workClass === 'rollout' ? positions.open : positions.usable) >= 0;
}

function isEligible(
  endpoint: EndpointState,
  choice: Choice,
  vms: VmView,
): boolean {
  return (
    endpoint.weightVersion >= choice.minWeightVersion &&
    endpoint.hasRoomFor(choice.workClass, vms)
  );
}

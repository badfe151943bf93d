/**
 * Chooses among the endpoints of one group. Usable endpoints are indexed so that a
 * choice takes the same time for any group size: a few random candidates are
 * compared.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointState, VmView} from './endpoint_state.js';
import {scoreEndpoint, ScoredWork, ScoreView} from './endpoint_score.js';
import {RandomSet} from './random_set.js';
import {PrefixIndex} from './prefix_index.js';
import type {RandomBits} from './random_bits.js';
import type {WorkClass} from './scheduler.js';

/**
 * Number of random candidates per choice. If all endpoints were compared, VMs
 * with the same outdated reports would all send to the one that looked idle and
 * overload it until the next report.
 */
const RANDOM_CANDIDATES = 3;
/** For interactive requests, groups of up to this size are compared completely. */
const MAX_COMPARED_EXHAUSTIVELY = 6;
/** Random picks after which a crowded group is treated as full. */
const MAX_RANDOM_PICKS = 12;

/** Properties of a work item that determine the choice of its endpoint. */
export interface EndpointRequirements extends ScoredWork {
  readonly workClass: WorkClass;
  readonly minWeightVersion: number;
  /** Model that the endpoint must serve; absent for any. */
  readonly model?: string;
  /** Key of the prompt's prefix; empty for none. */
  readonly prefixKey: string;
  /** Whether it is a suspect; only one may run on an endpoint. */
  readonly isSuspect: boolean;
  /** Endpoint to use only if no other is eligible. */
  readonly avoid?: EndpointId;
}

export class EndpointPool {
  readonly endpoints = new Map<EndpointId, EndpointState>();
  readonly prefixes = new PrefixIndex();
  newestVersion = 0;
  /** Endpoints that may receive work. */
  private readonly usable = new RandomSet<EndpointState>();
  /** Usable endpoints with room for one more rollout. */
  private readonly withRolloutRoom = new RandomSet<EndpointState>();

  constructor(private readonly random: RandomBits) {}

  add(endpoint: EndpointState): void {
    this.endpoints.set(endpoint.id, endpoint);
  }

  remove(endpoint: EndpointState): void {
    this.endpoints.delete(endpoint.id);
    this.usable.setMember(endpoint, false);
    this.withRolloutRoom.setMember(endpoint, false);
  }

  /** Updates the index after any change of the endpoint. */
  refresh(endpoint: EndpointState, vmView: VmView, nowMs: number): void {
    const isUsable = this.isUsable(endpoint, nowMs);
    const hasRoom = isUsable && endpoint.hasRoomFor('rollout', vmView);
    this.usable.setMember(endpoint, isUsable);
    this.withRolloutRoom.setMember(endpoint, hasRoom);
    this.newestVersion = Math.max(this.newestVersion, endpoint.weightVersion);
  }

  get hasUsable(): boolean {
    return this.usable.size > 0;
  }

  get usableCount(): number {
    return this.usable.size;
  }

  get hasRolloutRoom(): boolean {
    return this.withRolloutRoom.size > 0;
  }

  /** Returns the best of a few candidates, or undefined if none is eligible. */
  choose(
    requirements: EndpointRequirements,
    vmView: VmView,
    scoreView: ScoreView,
  ): EndpointState | undefined {
    const set =
      requirements.workClass === 'rollout' ? this.withRolloutRoom : this.usable;
    if (set.size === 0) return undefined;
    const holders =
      requirements.prefixKey === ''
        ? []
        : this.prefixes.find(requirements.prefixKey);
    let best: EndpointState | undefined;
    let bestScore = Infinity;
    const consider = (endpoint: EndpointState): boolean => {
      if (!isEligible(endpoint, requirements, vmView)) return false;
      const isCached = holders.includes(endpoint);
      let score = scoreEndpoint(endpoint, requirements, isCached, scoreView);
      if (endpoint.id === requirements.avoid) score += AVOIDED_PENALTY_MS;
      if (score < bestScore) {
        best = endpoint;
        bestScore = score;
      }
      return true;
    };
    const isFew =
      requirements.workClass === 'interactive' &&
      set.size <= MAX_COMPARED_EXHAUSTIVELY;
    if (isFew) {
      set.list().forEach(consider);
      return best;
    }
    for (const endpoint of holders) {
      if (set.has(endpoint)) consider(endpoint);
    }
    let considered = 0;
    for (
      let i = 0;
      i < MAX_RANDOM_PICKS && considered < RANDOM_CANDIDATES;
      i++
    ) {
      if (consider(set.pickRandom(this.random))) considered++;
    }
    return best;
  }

  private isUsable(endpoint: EndpointState, nowMs: number): boolean {
    if (!endpoint.health.isUsable(nowMs)) return false;
    // After a failure, one request at a time until the endpoint responds.
    return !endpoint.health.isSuspected || endpoint.inFlight === 0;
  }
}

/** Score penalty for the endpoint to avoid, ms. */
const AVOIDED_PENALTY_MS = 60_000;

function isEligible(
  endpoint: EndpointState,
  requirements: EndpointRequirements,
  vmView: VmView,
): boolean {
  if (requirements.isSuspect && endpoint.suspect) return false;
  const {model} = endpoint.info;
  if (requirements.model && model && requirements.model !== model) return false;
  return (
    endpoint.weightVersion >= requirements.minWeightVersion &&
    endpoint.hasRoomFor(requirements.workClass, vmView)
  );
}

/**
 * The endpoints of one group, indexed so that a choice costs the same however
 * many there are: those that may get work stand in an array from which a few
 * are drawn at random.
 */

import type {EndpointId} from '@radishyoke/shared/ids';
import type {EndpointState, VmView} from './endpoint_state.js';
import {scoreEndpoint, ScoredWork, ScoreView} from './endpoint_score.js';
import {RandomSet} from './random_set.js';
import {PrefixIndex} from './prefix_index.js';
import type {RandomBits} from './random_bits.js';
import type {WorkClass} from './scheduler.js';

/**
 * Candidates drawn at random for a choice. VMs that read the same late reports
 * would otherwise all send to the one endpoint that looked idle, until the next
 * report shows it as the fullest of all.
 */
const RANDOM_CANDIDATES = 3;
/** Interactive requests, which are few, compare all of up to this many. */
const MAX_COMPARED_EXHAUSTIVELY = 6;
/** Draws after which a crowded group counts as full. */
const MAX_RANDOM_PICKS = 12;

/** What a choice depends on besides the endpoints. */
export interface EndpointRequirements extends ScoredWork {
  readonly workClass: WorkClass;
  readonly minWeightVersion: number;
  /** Model that has to be served; absent for any. */
  readonly model?: string;
  /** Empty for none. */
  readonly prefixKey: string;
  /** Whether it must not meet another suspect. */
  readonly isSuspect: boolean;
  /** Endpoint to stay away from if there is another. */
  readonly avoid?: EndpointId;
}

export class EndpointPool {
  readonly endpoints = new Map<EndpointId, EndpointState>();
  readonly prefixes = new PrefixIndex();
  newestVersion = 0;
  /** May get work at all. */
  private readonly usable = new RandomSet<EndpointState>();
  /** Have room for one more rollout. */
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

  /** Brings the index up to date after anything changed at the endpoint. */
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

  /** The best of a few candidates, or undefined when none has room. */
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
    // After a failure one probe at a time, until something is heard.
    return !endpoint.health.isSuspected || endpoint.inFlight === 0;
  }
}

/** What an endpoint that failed this very work counts as worse by. */
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

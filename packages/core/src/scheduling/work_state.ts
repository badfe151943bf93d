/** What the scheduler keeps of one work and its attempts. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId, TenantId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {QueueEntry} from './fair_queue.js';
import type {WorkItem} from './scheduler.js';

/** One run of a work on an endpoint. */
export interface Attempt {
  readonly work: WorkState;
  readonly number: number;
  readonly endpoint: EndpointState;
  readonly startedAtMs: number;
  /** Tokens of earlier attempts that this one goes on from. */
  readonly resumedTokens: number;
  /** Tokens of the whole output so far, the resumed ones included. */
  tokens: number;
  progressAtMs: number;
  /** Oldest version in the output, resumed parts included; Infinity for none. */
  oldestVersion: number;
  /** Whether a crash of the endpoint has been counted for this attempt. */
  isCrashCounted: boolean;
  /** Whether its prompt still counts as pending at the endpoint. */
  isPromptPending: boolean;
}

/** Output of an attempt that ended early, to go on from. */
export interface PartialOutput {
  readonly attempt: number;
  readonly tokens: number;
  readonly oldestVersion: number;
}

/** Where a work stands. */
export type WorkPhase =
  | 'queued'
  /** No endpoint has the weights it needs. */
  | 'parked'
  /** As many of its tenant run as its rule allows. */
  | 'held_by_tenant'
  /** As many of its step run as are to its good. */
  | 'held_by_step'
  /** Under suspicion: waits to run with no other suspect. */
  | 'quarantined'
  /** Waits for its retry. */
  | 'delayed'
  | 'running'
  | 'over';

export class WorkState implements QueueEntry {
  phase: WorkPhase = 'queued';
  /** Attempts numbered so far. */
  attempts = 0;
  /** Attempts of which a byte may have reached an endpoint. */
  sentAttempts = 0;
  running: Attempt[] = [];
  partial?: PartialOutput;
  /** The failure that a retry follows, for the answer if no retry comes. */
  lastError?: RadishyokeError;
  notBeforeMs = 0;
  /** Where it failed last; a retry goes elsewhere if it can. */
  lastEndpoint?: EndpointId;
  expectedTokens: number;
  cost: number;

  constructor(
    readonly item: WorkItem,
    expectedTokens: number,
  ) {
    this.expectedTokens = expectedTokens;
    this.cost = measureCost(item, expectedTokens);
  }

  /** Tokens of its output so far, by the attempt that is furthest. */
  get tokens(): number {
    let maxTokens = this.partial?.tokens ?? 0;
    for (const attempt of this.running) {
      maxTokens = Math.max(maxTokens, attempt.tokens);
    }
    return maxTokens;
  }

  get tenant(): TenantId {
    return this.item.tenant;
  }

  get priority(): number {
    return this.item.priority;
  }

  get deadlineAtMs(): number {
    return this.item.deadlineAtMs;
  }

  get isStarted(): boolean {
    return this.attempts > 0;
  }

  /** Sets what is left to generate, which orders the queue. */
  setExpectedTokens(expectedTokens: number): void {
    this.expectedTokens = expectedTokens;
    const remaining = Math.max(1, expectedTokens - (this.partial?.tokens ?? 0));
    this.cost = measureCost(this.item, remaining);
  }
}

/** Prompt tokens are read many at a time, so they weigh less than generated ones. */
const PROMPT_TOKEN_COST = 0.05;

function measureCost(item: WorkItem, tokens: number): number {
  return tokens + item.promptTokens * PROMPT_TOKEN_COST + 1;
}

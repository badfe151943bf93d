/** Stores the scheduler's state of one work item and its attempts. */

import type {RadishyokeError} from '@radishyoke/shared/error_kind';
import type {EndpointId, TenantId} from '@radishyoke/shared/ids';
import type {EndpointState} from './endpoint_state.js';
import type {QueueEntry} from './fair_queue.js';
import type {WorkItem} from './scheduler.js';

/** One execution of a work item on an endpoint. */
export interface Attempt {
  readonly work: WorkState;
  readonly number: number;
  readonly endpoint: EndpointState;
  readonly startedAtMs: number;
  /** Tokens of earlier attempts that this attempt resumes from. */
  readonly resumedTokens: number;
  /** Tokens of the output so far, including resumed ones. */
  tokens: number;
  progressAtMs: number;
  /**
   * Oldest weight version in the output, including its resumed part; Infinity
   * while there is none.
   */
  oldestVersion: number;
  /** Whether a crash of the endpoint has been counted for this attempt. */
  isCrashCounted: boolean;
  /** Whether its prompt tokens still count as pending at the endpoint. */
  isPromptPending: boolean;
}

/** Output of an attempt that ended early, from which a later one can resume. */
export interface PartialOutput {
  readonly attempt: number;
  readonly tokens: number;
  readonly oldestVersion: number;
}

/** Current phase of a work item. */
export type WorkPhase =
  | 'queued'
  /** No endpoint with room has the weights or model that it needs. */
  | 'parked'
  /** Its tenant runs as many work items as its rule allows. */
  | 'held_by_tenant'
  /** Its step runs as many samples as its target allows. */
  | 'held_by_step'
  /** Suspected of crashes: waits for an endpoint without another suspect. */
  | 'quarantined'
  /** Waits until its retry is due. */
  | 'delayed'
  | 'running'
  | 'over';

export class WorkState implements QueueEntry {
  phase: WorkPhase = 'queued';
  /** Number of the latest attempt. */
  attempts = 0;
  /** Attempts of which a byte may have reached an endpoint. */
  sentAttempts = 0;
  running: Attempt[] = [];
  partial?: PartialOutput;
  /** Error of the latest failed attempt that was to be retried. */
  lastError?: RadishyokeError;
  notBeforeMs = 0;
  /** Endpoint of the last failure; a retry prefers another one. */
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

  /** Tokens of the longest output that any attempt has produced so far. */
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

  /**
   * Sets the expected output length and derives the cost that orders the queue
   * from what remains.
   */
  setExpectedTokens(expectedTokens: number): void {
    this.expectedTokens = expectedTokens;
    const remaining = Math.max(1, expectedTokens - (this.partial?.tokens ?? 0));
    this.cost = measureCost(this.item, remaining);
  }
}

/**
 * Cost of a prompt token relative to a generated one; engines prefill many
 * prompt tokens at once.
 */
const PROMPT_TOKEN_COST = 0.05;

function measureCost(item: WorkItem, tokens: number): number {
  return tokens + item.promptTokens * PROMPT_TOKEN_COST + 1;
}

/** Steps and rollouts of the trainer interface, with the schema of the request. */

import {z} from 'zod';
import type {EndpointId, RolloutId, StepId} from './ids.js';
import {RadishyokeError} from './error_kind.js';

/** Consecutive tokens of a rollout that were generated under one weight version. */
export interface TokenSpan {
  readonly weightVersion: number;
  readonly tokens: number;
}

/** One finished sample. */
export interface Rollout {
  readonly id: RolloutId;
  readonly step: StepId;
  readonly group: number;
  readonly sample: number;
  /** The attempt that produced this output, counted from 1. */
  readonly attempt: number;
  readonly endpoint: EndpointId;
  readonly text: string;
  readonly spans: readonly TokenSpan[];
  readonly finishReason: string;
}

/** Samples that share one prompt. */
export interface GroupRequest {
  readonly prompt: string;
  readonly samples: number;
  readonly maxTokens: number;
}

/** The body that opens a step. */
export interface StepRequest {
  readonly model: string;
  /** The trainer's weight version when it opens the step. */
  readonly weightVersion: number;
  /**
   * Maximum number of versions that a rollout may be behind the trainer on delivery.
   */
  readonly maxStaleness: number;
  /** Ms from the opening of the step until the trainer accepts no more rollouts. */
  readonly timeoutMs: number;
  readonly groups: readonly GroupRequest[];
}

/** Limits of a step; a body that exceeds one is refused as `too_large`. */
export const STEP_LIMITS = {
  groups: 1024,
  samplesPerGroup: 256,
  samples: 8192,
  promptChars: 262_144,
  maxTokens: 131_072,
  timeoutMs: 3_600_000,
} as const;

export const stepRequestSchema = z.strictObject({
  model: z.string().min(1).max(200),
  weightVersion: z.number().int().min(0),
  maxStaleness: z.number().int().min(0).max(1000),
  timeoutMs: z.number().int().min(1).max(STEP_LIMITS.timeoutMs),
  groups: z
    .array(
      z.strictObject({
        prompt: z.string().max(STEP_LIMITS.promptChars),
        samples: z.number().int().min(1).max(STEP_LIMITS.samplesPerGroup),
        maxTokens: z.number().int().min(1).max(STEP_LIMITS.maxTokens),
      }),
    )
    .min(1)
    .max(STEP_LIMITS.groups),
});

/** One line of a step's rollout stream (newline-delimited JSON). */
export type StepEvent =
  | {
      readonly kind: 'rollout';
      /**
       * Position in the step's stream, counted from 1; has no gaps within one owner.
       */
      readonly cursor: number;
      /** Fencing number of the owner that sends this event. */
      readonly fencing: number;
      readonly rollout: Rollout;
    }
  | {readonly kind: 'heartbeat'; readonly fencing: number}
  | {
      readonly kind: 'shortfall';
      readonly cursor: number;
      readonly fencing: number;
      readonly rolloutId: RolloutId;
      readonly error: RadishyokeError;
    }
  | {
      readonly kind: 'end';
      readonly fencing: number;
      readonly rollouts: number;
      readonly shortfalls: number;
    };

/**
 * Returns how many versions the oldest of `spans` is behind `trainerVersion`; at
 * least 0.
 */
export function measureStaleness(
  spans: readonly TokenSpan[],
  trainerVersion: number,
): number {
  let oldest = trainerVersion;
  for (const span of spans) oldest = Math.min(oldest, span.weightVersion);
  return trainerVersion - oldest;
}

/** Steps and rollouts as trainers see them, with the schemas that check them. */

import {z} from 'zod';
import type {EndpointId, RolloutId, StepId} from './ids.js';
import {RadishyokeError} from './error_kind.js';

/** Tokens of one rollout that were made under one weight version, in order. */
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
  /** Counts from 1; the attempt whose output this is. */
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
  /** The trainer's present weight version. */
  readonly weightVersion: number;
  /** Most versions that a rollout may lie behind the trainer's at handover. */
  readonly maxStaleness: number;
  /** Ms from opening until the trainer no longer wants rollouts. */
  readonly timeoutMs: number;
  readonly groups: readonly GroupRequest[];
}

/** Bounds on a step; a body over one is refused as `too_large`. */
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
      /** Position in the step's stream, from 1, without gaps for one owner. */
      readonly cursor: number;
      /** Fencing number of the owner that hands this over. */
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

/** Most versions by which `spans` lie behind `trainerVersion`; at least 0. */
export function measureStaleness(
  spans: readonly TokenSpan[],
  trainerVersion: number,
): number {
  let oldest = trainerVersion;
  for (const span of spans) oldest = Math.min(oldest, span.weightVersion);
  return trainerVersion - oldest;
}

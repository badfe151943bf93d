/**
 * Tracks the work items of each open step, computes how many of its samples may
 * run at once and reports the length of its longest sample.
 */

import {computeBatchTarget} from './batch_target.js';
import type {LengthEstimate} from './length_estimate.js';
import type {WorkState} from './work_state.js';

interface OpenStep {
  readonly workItems: Set<WorkState>;
  target: number;
  longestTokens: number;
  maxTokens: number;
}

export class StepPace {
  private readonly steps = new Map<string, OpenStep>();

  constructor(
    private readonly lengths: LengthEstimate,
    private readonly isEnabled: boolean,
  ) {}

  add(stepKey: string, work: WorkState): void {
    const {maxTokens} = work.item;
    const step = this.steps.get(stepKey);
    if (step) {
      step.workItems.add(work);
      step.maxTokens = Math.max(step.maxTokens, maxTokens);
      return;
    }
    this.steps.set(stepKey, {
      workItems: new Set([work]),
      target: Infinity,
      longestTokens: 0,
      maxTokens,
    });
  }

  remove(stepKey: string, work: WorkState, finishedTokens: number): void {
    const step = this.steps.get(stepKey);
    if (!step?.workItems.delete(work)) return;
    step.longestTokens = Math.max(step.longestTokens, finishedTokens);
    if (step.workItems.size > 0) return;
    this.lengths.recordStep(step.longestTokens, step.maxTokens);
    this.steps.delete(stepKey);
  }

  /** Whether the step has work items that have not ended. */
  isOpen(stepKey: string): boolean {
    return this.steps.has(stepKey);
  }

  listWorkItems(stepKey: string): readonly WorkState[] {
    return [...(this.steps.get(stepKey)?.workItems ?? [])];
  }

  get stepKeys(): readonly string[] {
    return [...this.steps.keys()];
  }

  /** Returns how many samples of the step may currently run at once. */
  targetOf(stepKey: string): number {
    return this.steps.get(stepKey)?.target ?? Infinity;
  }

  /** Recomputes the step's target for a number of usable endpoints. */
  updateTarget(stepKey: string, endpoints: number): void {
    const step = this.steps.get(stepKey);
    if (!step || !this.isEnabled) return;
    let remainingTokens = 0;
    let longestTokens = 0;
    for (const work of step.workItems) {
      const {groupKey, maxTokens} = work.item;
      const generated = work.tokens;
      remainingTokens +=
        this.lengths.estimate(groupKey, maxTokens, generated) - generated;
      longestTokens = Math.max(
        longestTokens,
        this.lengths.estimateLongestRemaining(maxTokens, generated),
      );
    }
    step.target = computeBatchTarget(
      {tokens: remainingTokens, longestTokens},
      endpoints,
    );
  }
}

/**
 * How many samples of each step run at once, and what its finished samples tell
 * of lengths.
 */

import {computeBatchTarget} from './batch_target.js';
import type {LengthEstimate} from './length_estimate.js';
import type {WorkState} from './work_state.js';

interface OpenStep {
  readonly works: Set<WorkState>;
  target: number;
  longestTokens: number;
  maxTokens: number;
}

export class StepPace {
  private readonly steps = new Map<string, OpenStep>();

  constructor(
    private readonly lengths: LengthEstimate,
    private readonly isOn: boolean,
  ) {}

  add(stepKey: string, work: WorkState): void {
    const {maxTokens} = work.item;
    const step = this.steps.get(stepKey);
    if (step) {
      step.works.add(work);
      step.maxTokens = Math.max(step.maxTokens, maxTokens);
      return;
    }
    this.steps.set(stepKey, {
      works: new Set([work]),
      target: Infinity,
      longestTokens: 0,
      maxTokens,
    });
  }

  remove(stepKey: string, work: WorkState, finishedTokens: number): void {
    const step = this.steps.get(stepKey);
    if (!step?.works.delete(work)) return;
    step.longestTokens = Math.max(step.longestTokens, finishedTokens);
    if (step.works.size > 0) return;
    this.lengths.noteStep(step.longestTokens, step.maxTokens);
    this.steps.delete(stepKey);
  }

  /** Whether works of the step are queued or running. */
  isOpen(stepKey: string): boolean {
    return this.steps.has(stepKey);
  }

  listWorks(stepKey: string): readonly WorkState[] {
    return [...(this.steps.get(stepKey)?.works ?? [])];
  }

  get stepKeys(): readonly string[] {
    return [...this.steps.keys()];
  }

  /** Most samples of the step that may run at once now. */
  targetOf(stepKey: string): number {
    return this.steps.get(stepKey)?.target ?? Infinity;
  }

  /** Works out the targets anew; `endpoints` is how many can be used. */
  update(stepKey: string, endpoints: number): void {
    const step = this.steps.get(stepKey);
    if (!step || !this.isOn) return;
    let tokens = 0;
    let longestTokens = 0;
    for (const work of step.works) {
      const {groupKey, maxTokens} = work.item;
      const made = work.tokens;
      tokens += this.lengths.estimate(groupKey, maxTokens, made) - made;
      longestTokens = Math.max(
        longestTokens,
        this.lengths.estimateLongestLeft(maxTokens, made),
      );
    }
    step.target = computeBatchTarget({tokens, longestTokens}, endpoints);
  }
}

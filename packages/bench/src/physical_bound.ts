/**
 * The least idle time that any scheduler could reach: a step can't end before
 * its longest sample alone has, nor before the engines, all full and never
 * waiting, have made its tokens. Where steps of several trainers overlap, the
 * one with least left is served first, which no order of whole works beats.
 */

/** What a step asks for. */
export interface StepDemand {
  readonly tokens: number;
  /** Time of its longest sample on an engine of its own. */
  readonly longestMs: number;
}

export interface TrainerPlan {
  readonly startAtMs: number;
  readonly trainMs: number;
  readonly steps: readonly StepDemand[];
}

interface OpenStep {
  readonly plan: TrainerPlan;
  readonly index: number;
  readonly openedAtMs: number;
  left: number;
}

/** Total idle ms of all trainers at `tokensPerMs` of all engines together. */
export function computeBound(
  plans: readonly TrainerPlan[],
  tokensPerMs: number,
): number {
  const opening: OpenStep[] = plans.map(plan =>
    openStep(plan, 0, plan.startAtMs),
  );
  const open: OpenStep[] = [];
  let nowMs = 0;
  let idleMs = 0;
  while (opening.length + open.length > 0) {
    opening.sort((a, b) => a.openedAtMs - b.openedAtMs);
    open.sort((a, b) => a.left - b.left);
    const nextOpenMs = opening[0]?.openedAtMs ?? Infinity;
    const first = open[0];
    const endMs = first ? nowMs + first.left / tokensPerMs : Infinity;
    if (nextOpenMs <= endMs) {
      if (first) first.left -= (nextOpenMs - nowMs) * tokensPerMs;
      nowMs = nextOpenMs;
      open.push(opening.shift()!);
      continue;
    }
    open.shift();
    nowMs = endMs;
    const {plan, index, openedAtMs} = first;
    const wholeAtMs = Math.max(endMs, openedAtMs + plan.steps[index].longestMs);
    idleMs += wholeAtMs - openedAtMs;
    if (index + 1 < plan.steps.length) {
      opening.push(openStep(plan, index + 1, wholeAtMs + plan.trainMs));
    }
  }
  return idleMs;
}

function openStep(
  plan: TrainerPlan,
  index: number,
  openedAtMs: number,
): OpenStep {
  return {plan, index, openedAtMs, left: plan.steps[index].tokens};
}

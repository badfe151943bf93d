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
  tokensLeft: number;
}

/** Total idle ms of all trainers at `tokensPerMs` of all engines together. */
export function computeBound(
  plans: readonly TrainerPlan[],
  tokensPerMs: number,
): number {
  const upcoming: OpenStep[] = plans.map(plan =>
    createOpenStep(plan, 0, plan.startAtMs),
  );
  const open: OpenStep[] = [];
  let nowMs = 0;
  let idleMs = 0;
  while (upcoming.length + open.length > 0) {
    upcoming.sort((a, b) => a.openedAtMs - b.openedAtMs);
    open.sort((a, b) => a.tokensLeft - b.tokensLeft);
    const nextOpenMs = upcoming[0]?.openedAtMs ?? Infinity;
    const shortest = open[0];
    const endMs = shortest
      ? nowMs + shortest.tokensLeft / tokensPerMs
      : Infinity;
    if (nextOpenMs <= endMs) {
      if (shortest) shortest.tokensLeft -= (nextOpenMs - nowMs) * tokensPerMs;
      nowMs = nextOpenMs;
      open.push(upcoming.shift()!);
      continue;
    }
    open.shift();
    nowMs = endMs;
    const {plan, index, openedAtMs} = shortest;
    const completedAtMs = Math.max(
      endMs,
      openedAtMs + plan.steps[index].longestMs,
    );
    idleMs += completedAtMs - openedAtMs;
    if (index + 1 < plan.steps.length) {
      upcoming.push(
        createOpenStep(plan, index + 1, completedAtMs + plan.trainMs),
      );
    }
  }
  return idleMs;
}

function createOpenStep(
  plan: TrainerPlan,
  index: number,
  openedAtMs: number,
): OpenStep {
  return {plan, index, openedAtMs, tokensLeft: plan.steps[index].tokens};
}

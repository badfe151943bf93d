/**
 * Computes a lower bound of the idle time under any scheduler. A step can't end before its
 * longest sample has run without other load, nor before fully loaded engines have
 * generated all its tokens. Where steps of several trainers overlap, the step with
 * the fewest tokens left is served first, which minimizes the total idle time.
 */

/** Load that one step places on the engines. */
export interface StepDemand {
  readonly tokens: number;
  /** Time that its longest sample takes on an otherwise idle engine. */
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

/** Returns the total idle time in ms; `tokensPerMs` is the rate of all engines. */
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

/**
 * The faults that a stand-in injects. A plan holds at most one fault of each
 * kind; setting a kind again replaces it.
 */

/** Faults of the connection, which every stand-in supports. */
export type TransportFault =
  /** Answers 503 to every request without processing it. */
  | {readonly kind: 'outage'}
  /** Breaks the connection of every request without processing it. */
  | {readonly kind: 'unreachable'}
  /** Processes the request, then breaks the connection instead of answering. */
  | {
      readonly kind: 'lose_answers';
      /** Number of answers still to lose. */
      readonly next: number;
      /** Loses answers to this method only; any but GET by default. */
      readonly method?: string;
    }
  /** Waits before it processes each request. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /**
   * Connections stay open but never answer again, even after the fault is cleared,
   * and later requests on them are not processed. `open` affects those open now,
   * `all` also those made while the fault is set.
   */
  | {readonly kind: 'silent'; readonly connections: 'open' | 'all'};

interface Fault {
  readonly kind: string;
}

/** The active faults of one stand-in. */
export class FaultPlan<F extends Fault> {
  private readonly active = new Map<string, Fault>();
  private readonly listeners: Array<(fault?: Fault) => void> = [];

  set(fault: F): void {
    this.active.set(fault.kind, fault);
    for (const listener of this.listeners) listener(fault);
  }

  /** Clears one kind of fault, or all of them. */
  clear(kind?: F['kind']): void {
    if (kind === undefined) this.active.clear();
    else this.active.delete(kind);
    for (const listener of this.listeners) listener();
  }

  find<K extends F['kind']>(kind: K): Extract<F, {kind: K}> | undefined {
    return this.active.get(kind) as Extract<F, {kind: K}> | undefined;
  }

  /** Returns this plan, typed for transport faults only. */
  asTransport(): FaultPlan<TransportFault> {
    return this as unknown as FaultPlan<TransportFault>;
  }

  /** Calls `listener` after each change, with the fault if one was set. */
  onChange(listener: (fault?: F) => void): void {
    this.listeners.push(listener as (fault?: Fault) => void);
  }
}

/** Returns whether to lose the answer to a `method` request; if so, counts it. */
export function consumeLostAnswer(
  plan: FaultPlan<TransportFault>,
  method: string,
): boolean {
  const fault = plan.find('lose_answers');
  if (!fault || fault.next <= 0) return false;
  const matches = fault.method ? fault.method === method : method !== 'GET';
  if (matches) plan.set({...fault, next: fault.next - 1});
  return matches;
}

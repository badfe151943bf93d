/**
 * The faults a stand-in is told to show. A plan holds at most one fault of each
 * kind; setting a kind again replaces it.
 */

/** Faults of the connection, which every stand-in can show. */
export type TransportFault =
  /** Answers 503 to everything and does nothing. */
  | {readonly kind: 'outage'}
  /** Breaks every connection before anything is done. */
  | {readonly kind: 'unreachable'}
  /** Does what is asked, then breaks the connection instead of answering. */
  | {
      readonly kind: 'lose_answers';
      /** Number of answers still to be lost. */
      readonly next: number;
      /** Loses answers to this method only; any but GET by default. */
      readonly method?: string;
    }
  /** Waits before each request is looked at. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /**
   * Connections go silent for good: nothing is read, written or closed. With
   * `open` only those open now, with `all` also the ones made while this holds.
   */
  | {readonly kind: 'silent'; readonly connections: 'open' | 'all'};

interface Fault {
  readonly kind: string;
}

/** The faults in force at one stand-in. */
export class FaultPlan<F extends Fault> {
  private readonly active = new Map<string, Fault>();
  private readonly listeners: Array<(fault?: Fault) => void> = [];

  set(fault: F): void {
    this.active.set(fault.kind, fault);
    for (const listener of this.listeners) listener(fault);
  }

  /** Ends one kind of fault, or all of them. */
  clear(kind?: F['kind']): void {
    if (kind === undefined) this.active.clear();
    else this.active.delete(kind);
    for (const listener of this.listeners) listener();
  }

  find<K extends F['kind']>(kind: K): Extract<F, {kind: K}> | undefined {
    return this.active.get(kind) as Extract<F, {kind: K}> | undefined;
  }

  /** The same plan, seen as one of transport faults alone. */
  asTransport(): FaultPlan<TransportFault> {
    return this as unknown as FaultPlan<TransportFault>;
  }

  /** Calls `listener` after each change, with the fault that was set if one was. */
  onChange(listener: (fault?: F) => void): void {
    this.listeners.push(listener as (fault?: Fault) => void);
  }
}

/** Whether the answer to a request with `method` is to be lost; counts it. */
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

/**
 * The signals of a supervisor, held from the first statement of a program on
 * and handed to whoever runs the VM.
 *
 * A signal without a handler ends a process. It shows as a VM that was just
 * started and ends when its platform tells it of changed settings; callers miss
 * it for one more start. A program therefore calls `holdSignals` before anything
 * else is evaluated, and loads the rest by `import()`: imports at its top would
 * be evaluated first. What came before somebody listens is kept for them, so
 * that no reload is missed.
 *
 * What is left is the start of Node.js, in which no code of ours runs.
 */

/** What a supervisor sends: two ways to ask for the end, and one for settings that changed. */
export type ProcessSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

export type SignalListener = (signal: ProcessSignal) => void;

/** Where signals come from: `process`, or an emitter of a test. */
export interface SignalSource {
  on(signal: ProcessSignal, listener: () => void): unknown;
}

const SIGNALS: readonly ProcessSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

export class ProcessSignals {
  private readonly pending: ProcessSignal[] = [];
  private listener: SignalListener | undefined;

  constructor(source: SignalSource) {
    for (const signal of SIGNALS)
      source.on(signal, () => this.onSignal(signal));
  }

  /** Hands over the signals that came so far, in their order, and each that comes. */
  listen(listener: SignalListener): void {
    this.listener = listener;
    for (const signal of this.pending.splice(0)) listener(signal);
  }

  private onSignal(signal: ProcessSignal): void {
    if (this.listener) this.listener(signal);
    else this.pending.push(signal);
  }
}

let processSignals: ProcessSignals | undefined;

/** The signals of this process; the first call installs the handlers. */
export function captureSignals(): ProcessSignals {
  processSignals ??= new ProcessSignals(process);
  return processSignals;
}

/**
 * Captures the signals of a supervisor from the first statement of a program
 * onwards and passes them to the code that runs the VM.
 *
 * A signal without a handler ends the process. A VM that has just started would
 * end when its platform signals changed settings, and callers would miss it
 * until it has started again. A program therefore calls `captureSignals` before
 * anything else is evaluated and loads the rest with `import()`, since static
 * imports would be evaluated first. Signals that arrive before there is a
 * listener are queued for it, so that no reload is missed.
 *
 * Signals during the startup of Node.js itself can not be captured, because
 * none of this code has run by then.
 */

/**
 * Signals of a supervisor: SIGTERM and SIGINT request the end, SIGHUP a reload
 * of the settings.
 */
export type ProcessSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP';

export type SignalListener = (signal: ProcessSignal) => void;

/** Source of signals: `process`, or an emitter in tests. */
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

  /**
   * Passes the queued signals to `listener` in order of arrival, then each new
   * one.
   */
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

/**
 * Returns the signals of this process; the first call installs the handlers.
 */
export function captureSignals(): ProcessSignals {
  processSignals ??= new ProcessSignals(process);
  return processSignals;
}

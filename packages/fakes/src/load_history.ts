/** Recent load of an engine, from which delayed load reports are made. */

/** The engine's load at one moment. */
export interface LoadFigures {
  readonly running: number;
  readonly waiting: number;
  readonly waitingPromptTokens: number;
  readonly weightVersion: number;
  readonly leaving: boolean;
}

/** The answer to `GET /load`. */
export interface EngineLoad extends LoadFigures {
  readonly tokensPerSecond: number;
  readonly measuredAtMs: number;
}

const RATE_WINDOW_MS = 1000;

interface Sample extends LoadFigures {
  readonly atMs: number;
  /** Tokens generated since the start. */
  readonly tokens: number;
}

/** Retains the samples that a report may still need. */
export class LoadHistory {
  private samples: Sample[];
  /** Samples before this index are no longer needed. */
  private first = 0;

  constructor(
    private readonly lagMs: number,
    start: LoadFigures,
    startMs: number,
  ) {
    this.samples = [{...start, atMs: startMs, tokens: 0}];
  }

  record(figures: LoadFigures, tokens: number, atMs: number): void {
    this.samples.push({...figures, atMs, tokens});
    const neededFromMs = atMs - this.lagMs - RATE_WINDOW_MS;
    while (this.samples[this.first + 1].atMs <= neededFromMs) this.first++;
    if (this.first < this.samples.length / 2) return;
    this.samples = this.samples.slice(this.first);
    this.first = 0;
  }

  /** Returns the report at `nowMs`, with figures that are `lagMs` old. */
  report(nowMs: number): EngineLoad {
    const measuredAtMs = nowMs - this.lagMs;
    const {
      running,
      waiting,
      waitingPromptTokens,
      weightVersion,
      leaving,
      tokens,
    } = this.findAt(measuredAtMs);
    const earlier = this.findAt(measuredAtMs - RATE_WINDOW_MS);
    return {
      running,
      waiting,
      waitingPromptTokens,
      tokensPerSecond: ((tokens - earlier.tokens) * 1000) / RATE_WINDOW_MS,
      weightVersion,
      leaving,
      measuredAtMs,
    };
  }

  private findAt(atMs: number): Sample {
    let i = this.samples.length - 1;
    while (i > this.first && this.samples[i].atMs > atMs) i--;
    return this.samples[i];
  }
}

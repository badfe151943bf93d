/** Summarizes a day from the logs of all VMs, aligned on a common time line. */

import {alignClocks, alignTime} from './clock_alignment.js';
import {readText, type TraceLine} from './trace_line.js';

/**
 * A span of time, Unix ms; without `toMs` it had not ended when the logs end.
 */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs?: number;
}

/** A training step's batch, from its acceptance to its end. */
export interface StepSpan extends TimeSpan {
  readonly batch: string;
  readonly model: string;
  readonly step: string;
  readonly results: number;
}

/** A period in which a VM could not read the log, or was the coordinator. */
export interface VmSpan extends TimeSpan {
  readonly vm: string;
}

/** An accepted order to an engine to load weights. */
export interface WeightLoad {
  readonly atMs: number;
  readonly endpoint: string;
  readonly model: string;
  readonly version: string;
}

/** How often something occurred in each second of the day. */
export interface CountsPerSecond {
  readonly name: string;
  /** Indexed by full seconds since the start of the day. */
  readonly counts: readonly number[];
}

export interface DaySummary {
  readonly fromMs: number;
  readonly toMs: number;
  readonly steps: readonly StepSpan[];
  readonly outages: readonly VmSpan[];
  readonly coordinators: readonly VmSpan[];
  readonly loads: readonly WeightLoad[];
  readonly requests: readonly CountsPerSecond[];
}

interface OpenSpan {
  readonly key: string;
  readonly vm: string;
  readonly fromMs: number;
  toMs?: number;
}

/** Summarizes a day; returns undefined if there are no lines. */
export function summarizeDay(
  lines: readonly TraceLine[],
): DaySummary | undefined {
  if (lines.length === 0) return undefined;
  const offsets = alignClocks(lines);
  const aligned = lines
    .map(line => ({line, atMs: alignTime(line, offsets)}))
    .sort((a, b) => a.atMs - b.atMs);
  const day = new DayBuilder();
  for (const {line, atMs} of aligned) day.addLine(line, atMs);
  return day.build(aligned[0].atMs, aligned[aligned.length - 1].atMs);
}

class DayBuilder {
  private readonly steps = new Map<string, StepSpan>();
  private readonly outages: OpenSpan[] = [];
  private readonly coordinators: OpenSpan[] = [];
  private readonly loads: WeightLoad[] = [];
  private readonly eventTimes = new Map<string, number[]>();

  addLine(line: TraceLine, atMs: number): void {
    switch (line.event) {
      case 'batch accepted':
        return this.openStep(line, atMs);
      case 'batch end':
        return this.updateStep(readText(line, 'requestId'), step => ({
          toMs: step.toMs ?? atMs,
        }));
      case 'item has a result':
        return this.updateStep(readText(line, 'batch'), step => ({
          results: step.results + 1,
        }));
      case 'topic can not be read':
        return this.openSpan(this.outages, line, readText(line, 'topic'), atMs);
      case 'topic is read again':
        return this.closeSpan(
          this.outages,
          line,
          readText(line, 'topic'),
          atMs,
        );
      case 'coordinator now':
        return this.openSpan(this.coordinators, line, '', atMs);
      case 'coordinator no more':
        return this.closeSpan(this.coordinators, line, '', atMs);
      case 'order to an engine':
        return this.addLoad(line, atMs);
      case 'request':
        return this.countEvent(`answered ${readText(line, 'outcome')}`, atMs);
      case 'request refused':
        return this.countEvent(`refused ${readText(line, 'outcome')}`, atMs);
      case 'batch call refused':
        return this.countEvent('batch call refused', atMs);
      case 'started':
        // Spans that the previous process left open ended with it.
        this.closeAllSpans(this.outages, line.vm, atMs);
        this.closeAllSpans(this.coordinators, line.vm, atMs);
    }
  }

  build(fromMs: number, toMs: number): DaySummary {
    const seconds = Math.floor((toMs - fromMs) / 1e3) + 1;
    const requests = [...this.eventTimes].map(([name, times]) => {
      const counts = new Array<number>(seconds).fill(0);
      for (const atMs of times) counts[Math.floor((atMs - fromMs) / 1e3)] += 1;
      return {name, counts};
    });
    return {
      fromMs,
      toMs,
      steps: [...this.steps.values()],
      outages: this.outages.map(toVmSpan),
      coordinators: this.coordinators.map(toVmSpan),
      loads: this.loads,
      requests,
    };
  }

  private openStep(line: TraceLine, atMs: number): void {
    const batch = readText(line, 'requestId');
    // A batch is accepted again if the acknowledgement was lost.
    if (this.steps.has(batch)) return;
    this.steps.set(batch, {
      batch,
      model: readText(line, 'model'),
      step: readText(line, 'step'),
      fromMs: atMs,
      results: 0,
    });
  }

  private updateStep(
    batch: string,
    change: (step: StepSpan) => Partial<StepSpan>,
  ): void {
    const step = this.steps.get(batch);
    if (step) this.steps.set(batch, {...step, ...change(step)});
  }

  private addLoad(line: TraceLine, atMs: number): void {
    if (readText(line, 'outcome') !== 'accepted') return;
    this.loads.push({
      atMs,
      endpoint: readText(line, 'endpoint'),
      model: readText(line, 'model'),
      version: readText(line, 'version'),
    });
  }

  private countEvent(name: string, atMs: number): void {
    const times = this.eventTimes.get(name) ?? [];
    times.push(atMs);
    this.eventTimes.set(name, times);
  }

  private openSpan(
    spans: OpenSpan[],
    {vm}: TraceLine,
    key: string,
    fromMs: number,
  ): void {
    const isOpen = spans.some(
      span => span.vm === vm && span.key === key && span.toMs === undefined,
    );
    if (!isOpen) spans.push({key, vm, fromMs});
  }

  private closeSpan(
    spans: readonly OpenSpan[],
    {vm}: TraceLine,
    key: string,
    toMs: number,
  ): void {
    const span = spans.find(
      candidate =>
        candidate.vm === vm &&
        candidate.key === key &&
        candidate.toMs === undefined,
    );
    if (span) span.toMs = toMs;
  }

  private closeAllSpans(
    spans: readonly OpenSpan[],
    vm: string,
    toMs: number,
  ): void {
    for (const span of spans) {
      if (span.vm === vm) span.toMs ??= toMs;
    }
  }
}

function toVmSpan({vm, fromMs, toMs}: OpenSpan): VmSpan {
  return {vm, fromMs, ...(toMs === undefined ? {} : {toMs})};
}

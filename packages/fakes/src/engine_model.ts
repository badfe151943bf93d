/**
 * A model engine without its HTTP interface: continuous batching, prefix cache,
 * weight swaps and crashes, with the time as a parameter. The same requests at
 * the same times give the same events.
 *
 * Requests run in iterations. An iteration prefills new requests and generates
 * `tokensPerChunk` tokens for each running one; its duration grows with both.
 * Requests join, swaps begin, and crashes caused by generation happen between
 * iterations.
 */

import {RunHistory, EngineRun} from './run_history.js';
import type {
  EngineEvent,
  EngineOrder,
  EngineRequest,
  KvState,
  OrderAnswer,
  OrderStatus,
  SubmitAnswer,
} from './engine_event.js';
import {DEFAULT_ENGINE_OPTIONS, EngineOptions} from './engine_options.js';
import {EngineStream} from './engine_stream.js';
import {EngineLoad, LoadFigures, LoadHistory} from './load_history.js';
import {CacheEvent, PrefixCache} from './prefix_cache.js';
import {SwapFailure, WeightLoader} from './weight_loader.js';

const FULL_RETRY_AFTER_MS = 1000;
const MAX_IMPORTED_STATES = 1000;
const SWEEP_EVERY_MS = 1000;

interface Iteration {
  readonly endsAtMs: number;
  readonly decoding: readonly EngineStream[];
}

export class EngineModel {
  private readonly options: EngineOptions;
  private readonly runHistory: RunHistory;
  private readonly cache: PrefixCache;
  private readonly loader: WeightLoader;
  private readonly loadHistory: LoadHistory;
  private readonly streams = new Map<string, EngineStream>();
  private readonly running = new Set<EngineStream>();
  private readonly waiting = new Set<EngineStream>();
  /** Prompt tokens of all waiting requests. */
  private waitingPromptTokens = 0;
  private readonly imported = new Map<string, KvState>();
  private events: EngineEvent[] = [];
  private iteration: Iteration | undefined;
  private clockMs: number;
  private restartAtMs = Infinity;
  private hungSinceMs: number | undefined;
  private sweptAtMs: number;
  private slowFactor = 1;
  private leaving = false;
  private generatedTokens = 0;
  private crashAtTokens = Infinity;

  /** Creates an idle engine that starts at `startMs`, Unix ms. */
  constructor(options: Partial<EngineOptions> = {}, startMs = 0) {
    this.options = {...DEFAULT_ENGINE_OPTIONS, ...options};
    this.clockMs = startMs;
    this.sweptAtMs = startMs;
    this.runHistory = new RunHistory(this.options.maxRuns);
    this.cache = new PrefixCache(this.options);
    this.loader = new WeightLoader(this.options);
    const {loadLagMs} = this.options;
    this.loadHistory = new LoadHistory(loadLagMs, this.measure(), startMs);
  }

  /** Processes all that is due until `nowMs`; returns the events since the last call. */
  advance(nowMs: number): readonly EngineEvent[] {
    this.advanceTo(nowMs);
    const {events} = this;
    this.events = [];
    return events;
  }

  /** The time at which `advance` next returns an event or changes state; Infinity for never. */
  nextEventAtMs(): number {
    return this.events.length > 0 ? this.clockMs : this.nextDueAtMs();
  }

  /** Submits a request; its submitter counts as a reader until `detach`. */
  submit(req: EngineRequest, nowMs: number): SubmitAnswer {
    this.advanceTo(nowMs);
    if (this.isDown) return {kind: 'down'};
    const existing = this.streams.get(req.id);
    if (existing && existing.state !== 'finished') return {kind: 'duplicate'};
    if (this.waiting.size >= this.options.maxWaiting)
      return {kind: 'full', retryAfterMs: FULL_RETRY_AFTER_MS};
    const run = this.runHistory.startRun(
      req.id,
      req.seed,
      req.resumeTokens,
      nowMs,
    );
    const stream = new EngineStream(req, run, this.options, nowMs);
    this.streams.set(req.id, stream);
    this.waiting.add(stream);
    this.waitingPromptTokens += req.promptTokens;
    this.beginIteration(nowMs);
    this.recordLoad(nowMs);
    return {kind: 'accepted', weightVersion: this.loader.weightVersion};
  }

  /** Stops a request and removes its stream; false if there is none. */
  cancel(id: string, nowMs: number): boolean {
    this.advanceTo(nowMs);
    const stream = this.streams.get(id);
    if (!stream) return false;
    if (stream.state !== 'finished') stream.run.close('cancelled', nowMs);
    this.removeStream(stream);
    this.recordLoad(nowMs);
    return true;
  }

  /** Finds the stream of a request; undefined once it was removed. */
  findStream(id: string, nowMs: number): EngineStream | undefined {
    this.advanceTo(nowMs);
    return this.streams.get(id);
  }

  /** Adds a reader, which prevents the removal of an unfinished stream. */
  attach(id: string, nowMs: number): void {
    const stream = this.findStream(id, nowMs);
    if (stream) stream.readers++;
  }

  detach(id: string, nowMs: number): void {
    const stream = this.findStream(id, nowMs);
    if (!stream || stream.readers === 0) return;
    stream.readers--;
    stream.unreadSinceMs = nowMs;
  }

  reportLoad(nowMs: number): EngineLoad {
    this.advanceTo(nowMs);
    return this.loadHistory.report(nowMs);
  }

  listCacheEvents(
    from: number,
    nowMs: number,
  ): {readonly next: number; readonly events: readonly CacheEvent[]} {
    this.advanceTo(nowMs);
    return this.cache.listEvents(from, nowMs);
  }

  exportKv(id: string, nowMs: number): KvState | undefined {
    const stream = this.findStream(id, nowMs);
    if (!stream) return undefined;
    const {req, outputTokens} = stream;
    return {id, promptTokens: req.promptTokens, outputTokens};
  }

  /** Stores a state, so that a request resumed under its id needs no prefill. */
  importKv(state: KvState): void {
    this.imported.delete(state.id);
    this.imported.set(state.id, state);
    if (this.imported.size <= MAX_IMPORTED_STATES) return;
    this.imported.delete(this.imported.keys().next().value!);
  }

  order(order: EngineOrder, nowMs: number): OrderAnswer {
    this.advanceTo(nowMs);
    if (this.isDown) return {kind: 'failed', detail: 'the engine is down'};
    const answer = this.loader.order(order, nowMs, this.events);
    this.beginIteration(nowMs);
    return answer;
  }

  describeOrders(nowMs: number): OrderStatus {
    this.advanceTo(nowMs);
    return this.loader.describe();
  }

  /** Ends the fetch that `fetch_weights` requested; `error` is set if it failed. */
  endFetch(version: number, error: string | undefined, nowMs: number): void {
    this.advanceTo(nowMs);
    this.loader.endFetch(version, error, nowMs, this.events);
    this.beginIteration(nowMs);
  }

  /** Lists the runs of all accepted requests, in order of arrival. */
  listRuns(): readonly EngineRun[] {
    return this.runHistory.list();
  }

  countDroppedRuns(): number {
    return this.runHistory.countDropped();
  }

  get isDown(): boolean {
    return this.restartAtMs !== Infinity;
  }

  /** Crashes the process; it restarts after `restartAfterMs`. */
  crash(nowMs: number): void {
    this.advanceTo(nowMs);
    this.crashNow(nowMs);
  }

  /** Begins or ends a hang, in which requests are accepted but nothing is generated. */
  setHung(isHung: boolean, nowMs: number): void {
    this.advanceTo(nowMs);
    if (isHung) this.hungSinceMs ??= nowMs;
    else this.endHang(nowMs);
  }

  /** Makes all iterations that begin from now on take `factor` times as long. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  setLeaving(leaving: boolean, nowMs: number): void {
    this.advanceTo(nowMs);
    this.leaving = leaving;
    this.recordLoad(nowMs);
  }

  setSwapFailure(failure: SwapFailure | undefined): void {
    this.loader.setSwapFailure(failure);
  }

  setChecksFencing(checksFencing: boolean): void {
    this.loader.setChecksFencing(checksFencing);
  }

  /** Makes it crash after `tokens` more generated tokens; Infinity for never. */
  crashAfterTokens(tokens: number): void {
    this.crashAtTokens = this.generatedTokens + tokens;
  }

  /** Processes all that is due until `nowMs`, each event at its own time. */
  private advanceTo(nowMs: number): void {
    for (;;) {
      const atMs = this.nextDueAtMs();
      if (atMs > nowMs) break;
      this.clockMs = Math.max(this.clockMs, atMs);
      this.processDue(this.clockMs);
    }
    this.clockMs = Math.max(this.clockMs, nowMs);
    this.sweep(this.clockMs);
  }

  private nextDueAtMs(): number {
    if (this.hungSinceMs !== undefined) return Infinity;
    return Math.min(
      this.restartAtMs,
      this.iteration?.endsAtMs ?? Infinity,
      this.loader.nextEventAtMs(),
    );
  }

  private processDue(nowMs: number): void {
    if (this.restartAtMs <= nowMs) this.restart(nowMs);
    // Cached states were computed with the old weights and are no longer valid.
    if (this.loader.advance(nowMs, this.events)) this.cache.clear(nowMs);
    if (this.iteration && this.iteration.endsAtMs <= nowMs)
      this.endIteration(nowMs);
    this.beginIteration(nowMs);
    this.recordLoad(nowMs);
  }

  private beginIteration(nowMs: number): void {
    const isBlocked =
      this.iteration || this.isDown || this.hungSinceMs !== undefined;
    if (isBlocked || this.loader.beginSwap(nowMs)) return;
    this.fillBatch(nowMs);
    if (this.running.size === 0) return;
    const prefilled = this.prefill();
    const decoding = [...this.running].filter(s => s.prefillTokens === 0);
    const {decodeBaseMs, decodeSlopeMs, tokensPerChunk} = this.options;
    const tokenMs = decodeBaseMs + decodeSlopeMs * decoding.length;
    const decodeMs = decoding.length > 0 ? tokenMs * tokensPerChunk : 0;
    const durationMs = prefilled * this.options.prefillMsPerToken + decodeMs;
    const endsAtMs = nowMs + durationMs * this.slowFactor;
    this.iteration = {endsAtMs, decoding};
  }

  private fillBatch(nowMs: number): void {
    for (const stream of this.waiting) {
      if (this.running.size >= this.options.maxBatch) return;
      this.stopWaiting(stream);
      this.running.add(stream);
      stream.state = 'running';
      stream.prefillTokens = this.countPrefill(stream.req);
      this.cache.markUsed(stream.req, nowMs);
    }
  }

  private countPrefill(req: EngineRequest): number {
    if (req.resumeTokens > 0 && this.imported.delete(req.id)) return 0;
    return req.promptTokens + req.resumeTokens - this.cache.countCached(req);
  }

  /** Prefills as much as one iteration allows; returns the number of tokens. */
  private prefill(): number {
    let budget = this.options.prefillTokensPerIteration;
    for (const stream of this.running) {
      const tokens = Math.min(budget, stream.prefillTokens);
      stream.prefillTokens -= tokens;
      budget -= tokens;
    }
    return this.options.prefillTokensPerIteration - budget;
  }

  private endIteration(nowMs: number): void {
    const decoding = this.iteration!.decoding.filter(
      s => s.state === 'running',
    );
    this.iteration = undefined;
    if (decoding.some(stream => stream.req.poison)) return this.crashNow(nowMs);
    for (const stream of decoding) this.generate(stream, nowMs);
    if (this.generatedTokens >= this.crashAtTokens) this.crashNow(nowMs);
  }

  private generate(stream: EngineStream, nowMs: number): void {
    const firstToken = stream.outputTokens;
    const {weightVersion} = this.loader;
    const tokens = stream.generate(this.options.tokensPerChunk, weightVersion);
    this.generatedTokens += tokens;
    const finishReason = stream.isComplete ? stream.finishReason : null;
    this.events.push({
      kind: 'chunk',
      atMs: nowMs,
      id: stream.req.id,
      firstToken,
      tokens,
      weightVersion,
      finishReason,
    });
    if (!stream.isComplete) return;
    this.running.delete(stream);
    stream.state = 'finished';
    stream.run.close('finished', nowMs);
    stream.unreadSinceMs = nowMs;
  }

  private crashNow(nowMs: number): void {
    if (this.isDown) return;
    const unfinished = [...this.running, ...this.waiting];
    for (const stream of unfinished) stream.run.close('crashed', nowMs);
    const lostIds = unfinished.map(stream => stream.req.id);
    this.streams.clear();
    this.running.clear();
    this.waiting.clear();
    this.waitingPromptTokens = 0;
    this.imported.clear();
    this.cache.clear(nowMs);
    this.iteration = undefined;
    this.hungSinceMs = undefined;
    this.crashAtTokens = Infinity;
    this.loader.reset();
    this.restartAtMs = nowMs + this.options.restartAfterMs;
    this.events.push({kind: 'crashed', atMs: nowMs, lostIds});
    this.recordLoad(nowMs);
  }

  private restart(nowMs: number): void {
    this.restartAtMs = Infinity;
    this.events.push({kind: 'restarted', atMs: nowMs});
  }

  private endHang(nowMs: number): void {
    if (this.hungSinceMs === undefined) return;
    const hungMs = nowMs - this.hungSinceMs;
    this.hungSinceMs = undefined;
    this.restartAtMs += hungMs;
    this.loader.postpone(hungMs);
    if (this.iteration)
      this.iteration = {
        ...this.iteration,
        endsAtMs: this.iteration.endsAtMs + hungMs,
      };
    this.beginIteration(nowMs);
  }

  /** Removes streams that have had no reader for too long. */
  private sweep(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_EVERY_MS) return;
    this.sweptAtMs = nowMs;
    const {streamKeepMs} = this.options;
    for (const stream of this.streams.values()) {
      if (!stream.isAbandoned(nowMs, streamKeepMs)) continue;
      const isUnfinished = stream.state !== 'finished';
      this.removeStream(stream);
      if (!isUnfinished) continue;
      stream.run.close('abandoned', nowMs);
      this.events.push({kind: 'abandoned', atMs: nowMs, id: stream.req.id});
    }
  }

  private removeStream(stream: EngineStream): void {
    this.streams.delete(stream.req.id);
    this.running.delete(stream);
    this.stopWaiting(stream);
    stream.state = 'finished';
  }

  private stopWaiting(stream: EngineStream): void {
    if (this.waiting.delete(stream))
      this.waitingPromptTokens -= stream.req.promptTokens;
  }

  private recordLoad(nowMs: number): void {
    this.loadHistory.record(this.measure(), this.generatedTokens, nowMs);
  }

  private measure(): LoadFigures {
    let {waitingPromptTokens} = this;
    for (const stream of this.running)
      waitingPromptTokens += stream.prefillTokens;
    return {
      running: this.running.size,
      waiting: this.waiting.size,
      waitingPromptTokens,
      weightVersion: this.loader.weightVersion,
      leaving: this.leaving,
    };
  }
}

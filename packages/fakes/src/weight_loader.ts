/**
 * Processes the orders of an engine: checks fencing, fetches weights and times
 * the swap. The engine's weight version changes only when a swap has ended.
 */

import type {
  EngineEvent,
  EngineOrder,
  OrderAnswer,
  OrderStatus,
} from './engine_event.js';
import type {EngineOptions} from './engine_options.js';

/** When an order fails: at once, or after the fetch of the weights. */
export type SwapFailure = 'at_once' | 'later';

type LoadState =
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'fetching';
      readonly version: number;
      readonly endsAtMs: number;
    }
  /** The weights are fetched; the swap begins after the current iteration. */
  | {readonly kind: 'ready'; readonly version: number}
  | {
      readonly kind: 'swapping';
      readonly version: number;
      readonly endsAtMs: number;
    };

const IDLE: LoadState = {kind: 'idle'};
/** The highest fencing number before the first order. */
const NO_FENCING = -1;

export class WeightLoader {
  private state: LoadState = IDLE;
  private highestFencing = NO_FENCING;
  private lastError: string | null = null;
  private version: number;
  private checksFencing: boolean;
  private swapFailure: SwapFailure | undefined;

  constructor(private readonly options: EngineOptions) {
    this.version = options.weightVersion;
    this.checksFencing = options.checksFencing;
  }

  get weightVersion(): number {
    return this.version;
  }

  /** Whether generation is paused by a swap. */
  get isSwapping(): boolean {
    return this.state.kind === 'swapping';
  }

  setChecksFencing(checksFencing: boolean): void {
    this.checksFencing = checksFencing;
  }

  setSwapFailure(failure: SwapFailure | undefined): void {
    this.swapFailure = failure;
  }

  order(order: EngineOrder, nowMs: number, events: EngineEvent[]): OrderAnswer {
    if (this.checksFencing && order.fencing < this.highestFencing)
      return {kind: 'stale_fencing', highest: this.highestFencing};
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    if (order.kind !== 'load_version') return {kind: 'begun'};
    if (this.isSwapping) return {kind: 'failed', detail: 'a swap is under way'};
    if (this.swapFailure === 'at_once') {
      this.lastError = `version ${order.version} could not be loaded`;
      return {kind: 'failed', detail: this.lastError};
    }
    this.beginFetch(order.version, nowMs, events);
    return {kind: 'begun'};
  }

  endFetch(
    version: number,
    error: string | undefined,
    nowMs: number,
    events: EngineEvent[],
  ): void {
    const {state} = this;
    if (state.kind !== 'fetching' || state.version !== version) return;
    const detail =
      this.swapFailure === 'later' ? 'the weights did not load' : error;
    if (detail === undefined) {
      this.state = {kind: 'ready', version};
      return;
    }
    this.state = IDLE;
    this.lastError = detail;
    events.push({kind: 'swap_failed', atMs: nowMs, version, detail});
  }

  /** Begins a swap that is due; returns whether a swap is in progress. */
  beginSwap(nowMs: number): boolean {
    if (this.state.kind === 'ready') {
      const {version} = this.state;
      const endsAtMs = nowMs + this.options.swapMs;
      this.state = {kind: 'swapping', version, endsAtMs};
    }
    return this.isSwapping;
  }

  /** When the current fetch or swap ends; Infinity if there is none. */
  nextEventAtMs(): number {
    const {state} = this;
    return state.kind === 'fetching' || state.kind === 'swapping'
      ? state.endsAtMs
      : Infinity;
  }

  /** Ends a fetch or swap that is due; returns whether the version changed. */
  advance(nowMs: number, events: EngineEvent[]): boolean {
    const {state} = this;
    if (this.nextEventAtMs() > nowMs) return false;
    if (state.kind === 'fetching') {
      this.endFetch(state.version, undefined, nowMs, events);
      return false;
    }
    if (state.kind !== 'swapping') return false;
    this.state = IDLE;
    this.version = state.version;
    this.lastError = null;
    events.push({kind: 'swapped', atMs: nowMs, version: state.version});
    return true;
  }

  /** Resets everything that a crash loses. */
  reset(): void {
    this.state = IDLE;
    this.lastError = null;
    this.highestFencing = NO_FENCING;
    if (this.options.restartVersion === 'first')
      this.version = this.options.weightVersion;
  }

  /** Delays the end of the current fetch or swap, after a hang of `byMs`. */
  postpone(byMs: number): void {
    const {state} = this;
    if (state.kind === 'fetching' || state.kind === 'swapping')
      this.state = {...state, endsAtMs: state.endsAtMs + byMs};
  }

  describe(): OrderStatus {
    return {
      highestFencing: this.highestFencing,
      weightVersion: this.version,
      loading: this.state.kind === 'idle' ? null : this.state.version,
      lastError: this.lastError,
    };
  }

  private beginFetch(
    version: number,
    nowMs: number,
    events: EngineEvent[],
  ): void {
    this.lastError = null;
    if (version === this.version) {
      this.state = IDLE;
      return;
    }
    const {fetchMs} = this.options;
    const endsAtMs = fetchMs === 'external' ? Infinity : nowMs + fetchMs;
    this.state = {kind: 'fetching', version, endsAtMs};
    if (fetchMs === 'external')
      events.push({kind: 'fetch_weights', atMs: nowMs, version});
  }
}

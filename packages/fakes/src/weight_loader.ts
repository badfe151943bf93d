/**
 * The part of an engine that takes orders: fencing, the fetch of weights, and
 * when a swap is due. What the engine runs changes only when a swap has ended.
 */

import type {
  EngineEvent,
  EngineOrder,
  OrderAnswer,
  OrderStatus,
} from './engine_event.js';
import type {EngineOptions} from './engine_options.js';

/** When an order fails: at once, or after weights were fetched. */
export type SwapFailure = 'at_once' | 'later';

type LoadState =
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'fetching';
      readonly version: number;
      readonly endsAtMs: number;
    }
  /** Weights are there; the swap begins when the batch allows it. */
  | {readonly kind: 'ready'; readonly version: number}
  | {
      readonly kind: 'swapping';
      readonly version: number;
      readonly endsAtMs: number;
    };

const IDLE: LoadState = {kind: 'idle'};
/** The highest fencing number before any order. */
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

  /** Whether generation stands still for a swap. */
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

  /** Begins a swap that is due; tells whether generation stands still for it. */
  beginSwap(nowMs: number): boolean {
    if (this.state.kind === 'ready') {
      const {version} = this.state;
      const endsAtMs = nowMs + this.options.swapMs;
      this.state = {kind: 'swapping', version, endsAtMs};
    }
    return this.isSwapping;
  }

  /** When something happens next by itself. */
  nextEventAtMs(): number {
    const {state} = this;
    return state.kind === 'fetching' || state.kind === 'swapping'
      ? state.endsAtMs
      : Infinity;
  }

  /** Does what is due at `nowMs`; tells whether the version changed. */
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

  /** Forgets what was under way, as a crash does. */
  reset(): void {
    this.state = IDLE;
    this.lastError = null;
    this.highestFencing = NO_FENCING;
    if (this.options.restartVersion === 'first')
      this.version = this.options.weightVersion;
  }

  /** Moves what is under way into the future, after a time of standing still. */
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

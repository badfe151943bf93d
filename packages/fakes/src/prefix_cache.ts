/**
 * An engine's prefix cache: a limited number of tokens, least recently used out
 * first, with a feed of events that is late and has gaps.
 */

/** What a request's prompt can share with earlier ones. */
export interface PromptShape {
  readonly promptTokens: number;
  /** Equal for prompts with the same beginning. */
  readonly prefixKey: string;
  /** Equal for equal prompts. */
  readonly promptKey: string;
}

export interface CacheEvent {
  readonly seq: number;
  readonly prefix: string;
  readonly cached: boolean;
}

export interface PrefixCacheOptions {
  readonly cacheTokens: number;
  /** How late events are shown. */
  readonly cacheEventLagMs: number;
  /** Every n-th event is never shown; 0 shows all. */
  readonly cacheEventGapEvery: number;
}

/** Tokens that prompts with the same `prefixKey` have in common, at most. */
export const PREFIX_TOKENS = 64;
const MAX_EVENTS = 1000;

interface Entry {
  readonly tokens: number;
  /** Whether this stands for a prefix, whose coming and going is told. */
  readonly isPrefix: boolean;
}

interface TimedEvent extends CacheEvent {
  readonly atMs: number;
}

export class PrefixCache {
  /** Least recently used first. */
  private readonly entries = new Map<string, Entry>();
  private tokens = 0;
  private events: TimedEvent[] = [];
  private seq = 0;

  constructor(private readonly options: PrefixCacheOptions) {}

  /** Tokens of the prompt that need no prefill. */
  countCached(prompt: PromptShape): number {
    if (this.entries.has(promptEntryKey(prompt))) return prompt.promptTokens;
    return this.entries.has(prompt.prefixKey) ? countPrefix(prompt) : 0;
  }

  /** Marks a prompt as used now and cached from now on. */
  markUsed(prompt: PromptShape, nowMs: number): void {
    const prefixTokens = countPrefix(prompt);
    const restTokens = prompt.promptTokens - prefixTokens;
    // The rest is of use only after its prefix, so it must be evicted first.
    this.put(promptEntryKey(prompt), restTokens, false, nowMs);
    this.put(prompt.prefixKey, prefixTokens, true, nowMs);
    while (this.tokens > this.options.cacheTokens) this.evictOldest(nowMs);
  }

  /** Forgets all, as new weights or a crash do. */
  clear(nowMs: number): void {
    while (this.entries.size > 0) this.evictOldest(nowMs);
  }

  /** The events from `from` on that are already shown at `nowMs`. */
  listEvents(
    from: number,
    nowMs: number,
  ): {readonly next: number; readonly events: readonly CacheEvent[]} {
    const untilMs = nowMs - this.options.cacheEventLagMs;
    const due = this.events.filter(e => e.seq >= from && e.atMs <= untilMs);
    const next = due.length > 0 ? due[due.length - 1].seq + 1 : from;
    const events = due
      .filter(e => !this.isGap(e.seq))
      .map(({seq, prefix, cached}) => ({seq, prefix, cached}));
    return {next, events};
  }

  private isGap(seq: number): boolean {
    const every = this.options.cacheEventGapEvery;
    return every > 0 && seq % every === every - 1;
  }

  private put(
    key: string,
    tokens: number,
    isPrefix: boolean,
    nowMs: number,
  ): void {
    const existing = this.entries.get(key);
    this.entries.delete(key);
    this.entries.set(key, existing ?? {tokens, isPrefix});
    if (existing) return;
    this.tokens += tokens;
    if (isPrefix) this.recordEvent(key, true, nowMs);
  }

  private evictOldest(nowMs: number): void {
    const [key, entry] = this.entries.entries().next().value!;
    this.entries.delete(key);
    this.tokens -= entry.tokens;
    if (entry.isPrefix) this.recordEvent(key, false, nowMs);
  }

  private recordEvent(prefix: string, cached: boolean, atMs: number): void {
    this.events.push({seq: this.seq++, prefix, cached, atMs});
    if (this.events.length > 2 * MAX_EVENTS)
      this.events = this.events.slice(-MAX_EVENTS);
  }
}

function countPrefix(prompt: PromptShape): number {
  return Math.min(PREFIX_TOKENS, prompt.promptTokens);
}

function promptEntryKey(prompt: PromptShape): string {
  return `prompt:${prompt.promptKey}`;
}

/**
 * An engine's prefix cache: holds a limited number of tokens, evicts the least
 * recently used, and offers a feed of events that is delayed and has gaps.
 */

/** The properties of a prompt that decide what it shares with earlier ones. */
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
  /** Delay before an event is listed. */
  readonly cacheEventLagMs: number;
  /** Every n-th event is never listed; 0 lists all. */
  readonly cacheEventGapEvery: number;
}

/** Largest number of tokens that prompts with the same `prefixKey` share. */
export const PREFIX_TOKENS = 64;
const MAX_EVENTS = 1000;

interface Entry {
  readonly tokens: number;
  /** Whether this is a prefix, whose caching and eviction are events. */
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

  /** Counts the tokens of the prompt that need no prefill. */
  countCached(prompt: PromptShape): number {
    if (this.entries.has(createPromptEntryKey(prompt)))
      return prompt.promptTokens;
    return this.entries.has(prompt.prefixKey) ? countPrefix(prompt) : 0;
  }

  /** Caches a prompt, or marks it as most recently used. */
  markUsed(prompt: PromptShape, nowMs: number): void {
    const prefixTokens = countPrefix(prompt);
    const restTokens = prompt.promptTokens - prefixTokens;
    // The rest is useless without its prefix, so it must be evicted first.
    this.put(createPromptEntryKey(prompt), restTokens, false, nowMs);
    this.put(prompt.prefixKey, prefixTokens, true, nowMs);
    while (this.tokens > this.options.cacheTokens) this.evictOldest(nowMs);
  }

  /** Evicts everything, as after a weight swap or a crash. */
  clear(nowMs: number): void {
    while (this.entries.size > 0) this.evictOldest(nowMs);
  }

  /** Lists the events from sequence number `from` on that are visible at `nowMs`. */
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

function createPromptEntryKey(prompt: PromptShape): string {
  return `prompt:${prompt.promptKey}`;
}

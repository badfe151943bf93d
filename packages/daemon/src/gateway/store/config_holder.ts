/** Holds the newest configuration that this VM has read, and decides whether it is current enough to rely on. */

import type {AdmissionQuery} from '@radishyoke/core/accounts/account_directory';
import type {
  Admission,
  Caller,
  ConfigFreshness,
} from '@radishyoke/core/accounts/client_account';
import {
  type Configuration,
  RouteTable,
} from '@radishyoke/core/routing/route_table';
import type {ConfigKnowledge} from '@radishyoke/core/batches/config_knowledge';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';

/** Longest time that a caller waits while the log is read for its unknown key or route, ms; after that it is asked to retry. */
const CATCH_UP_TIMEOUT_MS = 200;

/** Source that keeps a holder up to date. */
export interface ConfigSource {
  /** Reads all versions up to the end of the log, beginning after the call; returns whether that succeeded. */
  catchUp(): Promise<boolean>;
  /** Steady ms since the log last answered. */
  measureSilenceMs(): number;
}

export class ConfigHolder {
  private current: RouteTable | undefined;
  private source: ConfigSource | undefined;
  /** Steady ms. All versions that the log had at this time were read. */
  private completeAtMs = -Infinity;
  private readonly listeners: Array<(table: RouteTable) => void> = [];

  /** @param maxKeyAgeMs Longest time that a key is accepted after the log last answered, ms. */
  constructor(
    private readonly logger: EventLogger,
    private readonly maxKeyAgeMs = Infinity,
  ) {}

  /** Sets the source that keeps this holder up to date; without one the configuration counts as current. */
  attach(source: ConfigSource): void {
    this.source = source;
  }

  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Version of the configuration; 0 until one was read. */
  get version(): number {
    return this.current?.cfg.version ?? 0;
  }

  /** How much of the configuration's history was read; all of it without a source. */
  get knowledge(): ConfigKnowledge {
    const {version, source} = this;
    return {version, completeAtMs: source ? this.completeAtMs : Infinity};
  }

  /**
   * Determines by `key` which caller a request belongs to. An unknown key may be in a
   * version that was not read yet, so the log is read before the request is refused,
   * because a refusal is final for the caller.
   */
  async admit(key: string | undefined, isPublic: boolean): Promise<Admission> {
    if (!this.current) return {kind: 'uncertain'};
    const first = this.decide({
      key,
      isPublic,
      freshness: this.assessFreshness(),
    });
    if (first.kind !== 'uncertain') return first;
    const freshness = await this.catchUp();
    return this.decide({key, isPublic, freshness});
  }

  /** Reads the log and returns whether `table` is now confirmed to be the newest version. */
  async confirmCurrent(): Promise<boolean> {
    return (await this.catchUp()) === 'current';
  }

  /** Returns the caller that work accepted earlier belongs to: its account, if it had one. */
  describeOwner(account: string | undefined): Caller {
    if (account !== undefined) return {kind: 'account', name: account};
    return this.current?.accounts.describeOwner(account) ?? {kind: 'unchecked'};
  }

  private decide(query: AdmissionQuery): Admission {
    return this.current?.accounts.admit(query) ?? {kind: 'uncertain'};
  }

  private async catchUp(): Promise<ConfigFreshness> {
    if (!this.source) return 'current';
    const isRead = await Promise.race([
      this.readSource(this.source),
      sleep(CATCH_UP_TIMEOUT_MS, false),
    ]);
    return isRead ? 'current' : this.assessFreshness();
  }

  private async readSource(source: ConfigSource): Promise<boolean> {
    const calledMs = performance.now();
    const isRead = await source.catchUp();
    if (isRead) this.completeAtMs = Math.max(this.completeAtMs, calledMs);
    return isRead;
  }

  private assessFreshness(): ConfigFreshness {
    const silentMs = this.source?.measureSilenceMs() ?? 0;
    return silentMs > this.maxKeyAgeMs ? 'expired' : 'behind';
  }

  onChange(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Applies `cfg` if it is newer than the current configuration; returns whether it was.
   *
   * After a reconnect, or while the log drops history, a read may return older records
   * than an earlier read did. Applying an older version would bring back routes that
   * callers have already seen replaced.
   */
  offer(cfg: Configuration): boolean {
    if (cfg.version <= this.version) return false;
    this.current = new RouteTable(cfg);
    this.logger.log('info', 'configuration in force', {
      configVersion: cfg.version,
      routes: cfg.routes.length,
    });
    for (const listener of this.listeners) listener(this.current);
    return true;
  }
}

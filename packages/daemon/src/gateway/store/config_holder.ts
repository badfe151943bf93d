/** The newest configuration that this VM has seen, and how far that can be relied on. */

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
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';

/** A caller waits no longer for the log to say whether its key or rule is new, ms; it is then told to come back. */
const CATCH_UP_TIMEOUT_MS = 200;

/** How a holder learns whether it has missed a version. */
export interface ConfigSource {
  /** Reads all versions there are now; says whether that succeeded. */
  catchUp(): Promise<boolean>;
  /** Steady ms since the log last answered. */
  measureSilenceMs(): number;
}

export class ConfigHolder {
  private current: RouteTable | undefined;
  private source: ConfigSource | undefined;
  private readonly listeners: Array<(table: RouteTable) => void> = [];

  /** @param maxKeyAgeMs A key is served at most so long after it was last known to hold, ms. */
  constructor(
    private readonly logger: EventLogger,
    private readonly maxKeyAgeMs = Infinity,
  ) {}

  /** Names what keeps this holder up to date; until then it is taken to be. */
  attach(source: ConfigSource): void {
    this.source = source;
  }

  get table(): RouteTable | undefined {
    return this.current;
  }

  /** 0 until a configuration is known. */
  get version(): number {
    return this.current?.cfg.version ?? 0;
  }

  /**
   * Decides whose request it is, by `key`. A key that is not known may stand in
   * a version that was not read yet, so the log is asked before a refusal, which
   * is final for a caller.
   */
  async admit(key: string | undefined, isPublic: boolean): Promise<Admission> {
    if (!this.current) return {kind: 'uncertain'};
    const first = this.decide({
      key,
      isPublic,
      freshness: this.assessKnowledge(),
    });
    if (first.kind !== 'uncertain') return first;
    const knowledge = await this.catchUp();
    return this.decide({key, isPublic, freshness: knowledge});
  }

  /** Whether what is not in `table` is nowhere: asks the log. */
  async isComplete(): Promise<boolean> {
    return (await this.catchUp()) === 'current';
  }

  /** In whose name work goes on that was accepted for the account, if for any. */
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
      this.source.catchUp(),
      sleep(CATCH_UP_TIMEOUT_MS, false),
    ]);
    return isRead ? 'current' : this.assessKnowledge();
  }

  private assessKnowledge(): ConfigFreshness {
    const silentMs = this.source?.measureSilenceMs() ?? 0;
    return silentMs > this.maxKeyAgeMs ? 'expired' : 'behind';
  }

  onChange(listener: (table: RouteTable) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes `cfg` if it is newer than what is in force.
   *
   * A read of the log may lag behind an earlier one, after a reconnect or while
   * history is being dropped. It shows as an older version behind a newer one;
   * taking it would bring back rules that callers have seen replaced.
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

/** The newest configuration that this VM has seen. */

import {
  type Configuration,
  RouteTable,
} from '@radishyoke/core/routing/route_table';
import type {EventLogger} from '../../logger.js';

export class ConfigHolder {
  private current: RouteTable | undefined;
  private readonly listeners: Array<(table: RouteTable) => void> = [];

  constructor(private readonly logger: EventLogger) {}

  get table(): RouteTable | undefined {
    return this.current;
  }

  /** 0 until a configuration is known. */
  get version(): number {
    return this.current?.cfg.version ?? 0;
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

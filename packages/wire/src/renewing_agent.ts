/**
 * Pooled HTTP connections to many endpoints; all connections to one endpoint can be
 * retired at once.
 */

import {Dispatcher, Pool} from 'undici';

export class RenewingAgent extends Dispatcher {
  private readonly pools = new Map<string, Pool>();
  /** Pools that accept no new requests and close when their current ones have ended. */
  private readonly retired = new Set<Pool>();

  constructor(private readonly options: Pool.Options = {}) {
    super();
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return this.getOrCreatePool(String(options.origin)).dispatch(
      options,
      handler,
    );
  }

  /**
   * Retires all connections to `origin`, so that new requests use new ones.
   *
   * A device between the two ends can lose its connection state: existing connections
   * go silent permanently while new ones work. Requests then time out one after
   * another, each on the next idle connection of the pool. One silent connection
   * therefore retires the pool. Requests in flight continue, as their connections may
   * still work.
   */
  renew(origin: string): void {
    const pool = this.pools.get(origin);
    if (!pool) return;
    this.pools.delete(origin);
    this.retired.add(pool);
    const removeRetired = () => this.retired.delete(pool);
    pool.close().then(removeRetired, removeRetired);
  }

  override async close(): Promise<void> {
    await Promise.all(this.removeAllPools().map(pool => pool.close()));
  }

  override async destroy(): Promise<void> {
    await Promise.all(this.removeAllPools().map(pool => pool.destroy()));
  }

  private getOrCreatePool(origin: string): Pool {
    let pool = this.pools.get(origin);
    if (!pool) {
      pool = new Pool(origin, this.options);
      this.pools.set(origin, pool);
    }
    return pool;
  }

  private removeAllPools(): readonly Pool[] {
    const all = [...this.pools.values(), ...this.retired];
    this.pools.clear();
    this.retired.clear();
    return all;
  }
}

/** Retires the connections to `origin` if `dispatcher` supports it. */
export function renewConnections(dispatcher: Dispatcher, origin: string): void {
  if (dispatcher instanceof RenewingAgent) dispatcher.renew(origin);
}

/**
 * Pooled HTTP connections to many endpoints, with a way to give up all that
 * lead to one of them.
 */

import {Dispatcher, Pool} from 'undici';

export class RenewingAgent extends Dispatcher {
  private readonly pools = new Map<string, Pool>();
  /** Pools that take no new requests and wait for theirs to end. */
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
   * Lets new requests to `origin` take new connections only.
   *
   * Something between the two ends can lose track of connections: they go
   * silent for good while new ones work. It shows as requests that time out one
   * after another, each on the next idle connection of the pool. A request that
   * met one silent connection gives them all up, so that no other meets one.
   * Requests in flight on them go on: theirs may be alive.
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

/** Gives up the connections to `origin` where `dispatcher` can do so. */
export function renewConnections(dispatcher: Dispatcher, origin: string): void {
  if (dispatcher instanceof RenewingAgent) dispatcher.renew(origin);
}

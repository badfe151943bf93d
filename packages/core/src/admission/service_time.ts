/** Estimates how long requests take at endpoints, including their wait there. */

/** Weight of a new measurement. */
const WEIGHT = 0.1;
/** Maximum number of routes that are kept; the oldest is dropped. */
const MAX_ROUTES = 2000;

/** Exponential moving average of service times. */
export class ServiceTime {
  private valueMs: number | undefined;

  /** The estimate, ms; undefined before the first measurement. */
  get ms(): number | undefined {
    return this.valueMs;
  }

  record(tookMs: number): void {
    const previousMs = this.valueMs ?? tookMs;
    this.valueMs = previousMs + WEIGHT * (tookMs - previousMs);
  }
}

/** Service times by route. */
export class RouteServiceTimes {
  private readonly byRoute = new Map<string, ServiceTime>();

  /** The estimate for `route`, ms; undefined before its first measurement. */
  get(route: string): number | undefined {
    return this.byRoute.get(route)?.ms;
  }

  record(route: string, tookMs: number): void {
    let time = this.byRoute.get(route);
    if (!time) {
      time = new ServiceTime();
      this.dropOldest();
      this.byRoute.set(route, time);
    }
    time.record(tookMs);
  }

  private dropOldest(): void {
    if (this.byRoute.size < MAX_ROUTES) return;
    const [oldest] = this.byRoute.keys();
    this.byRoute.delete(oldest);
  }
}

/**
 * How many endpoints of a service to have beyond those that are always there.
 *
 * The load this answers: trainers ask for hundreds of items at once, and a step
 * is as late as its longest item, which each item beside it on an engine slows.
 * Endpoints that the platform may take away cost a fraction of lasting ones, so
 * they carry the peaks, spread over data centres: one data centre's may all go
 * at once.
 */

/** What the operator allows for the endpoints of one service. */
export interface ScalingSpec {
  /** In one data centre, of both kinds together. */
  readonly min: number;
  readonly max: number;
  /** From the order until an endpoint serves, ms. */
  readonly bootMs: number;
  /** Price of an endpoint that may be taken away, against that of a lasting one; undefined where there are none. */
  readonly reclaimablePrice?: number;
  /** Relative prices of data centres. */
  readonly prices: Readonly<Record<string, number>>;
}

/** Endpoints of a service in one data centre, those that leave aside. */
export interface DataCentreFleet {
  readonly dataCentre: string;
  readonly lasting: number;
  readonly reclaimable: number;
}

export interface ScalingDemand {
  /** Items that wanted a place at once at the last peak. */
  readonly peakItems: number;
  /** Items that one endpoint takes at once. */
  readonly slots: number;
}

/** A dearer endpoint that may be taken away is not worth its trouble, as a share of a lasting one's price. */
const MAX_RECLAIMABLE_PRICE = 0.5;
/** Endpoints that may go at any moment, against those that stay: work must go on when all of them are gone. */
const MAX_RECLAIMABLE_SHARE = 0.5;

/** Endpoints that may be taken away to have in each data centre. */
export function planReclaimable(
  {max, reclaimablePrice}: ScalingSpec,
  fleets: readonly DataCentreFleet[],
  {peakItems, slots}: ScalingDemand,
): ReadonlyMap<string, number> {
  const isCheap =
    reclaimablePrice !== undefined && reclaimablePrice <= MAX_RECLAIMABLE_PRICE;
  const lasting = fleets.reduce((sum, fleet) => sum + fleet.lasting, 0);
  const missing = Math.max(Math.ceil(peakItems / slots) - lasting, 0);
  const most = Math.floor(lasting * MAX_RECLAIMABLE_SHARE);
  const wanted = isCheap ? Math.min(missing, most) : 0;
  const each = Math.ceil(wanted / Math.max(fleets.length, 1));
  return new Map(
    fleets.map(({dataCentre, lasting: own}) => [
      dataCentre,
      Math.min(each, Math.max(max - own, 0)),
    ]),
  );
}

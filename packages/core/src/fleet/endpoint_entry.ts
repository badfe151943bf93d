/** What the platform's list says of one endpoint. */

/** One model on an engine with the weight version it has. */
export interface ModelVersion {
  readonly model: string;
  readonly version: number;
}

export interface EndpointEntry {
  /** Of the endpoint; an entry is stored under it. */
  readonly id: string;
  readonly service: string;
  /** IP number. */
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slots: number;
  /** A draining endpoint takes no new work. */
  readonly isDraining: boolean;
  /** Empty for plain services. */
  readonly models: readonly ModelVersion[];
  /** Unix ms of the start of this life, 0 where it is not told; an endpoint may restart under its id. */
  readonly startedAtMs: number;
  /** Counts the endpoint's writes in this life. */
  readonly sequence: number;
}

/** Whether `next` tells of the same life and place as `prev`. */
export function isSameIncarnation(
  prev: EndpointEntry,
  next: EndpointEntry,
): boolean {
  return (
    prev.startedAtMs === next.startedAtMs &&
    prev.host === next.host &&
    prev.port === next.port
  );
}

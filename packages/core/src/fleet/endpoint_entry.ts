/** Defines the entry of one endpoint in the platform's endpoint list. */

/** A model on an engine and its weight version. */
export interface ModelVersion {
  readonly model: string;
  readonly version: number;
}

export interface EndpointEntry {
  /** Endpoint id, under which the entry is stored. */
  readonly id: string;
  readonly service: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slots: number;
  /** Whether the endpoint takes no new work and only completes what it has. */
  readonly isDraining: boolean;
  /** Empty for plain services. */
  readonly models: readonly ModelVersion[];
  /**
   * Unix ms at which this incarnation started, 0 if unknown; an endpoint may
   * restart under the same id.
   */
  readonly startedAtMs: number;
  /** Number of the endpoint's writes in this incarnation. */
  readonly sequence: number;
}

/** Whether both entries describe the same incarnation at the same address. */
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

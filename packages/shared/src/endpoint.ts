/** What the VM list and the endpoints' own reports tell of endpoints and VMs. */

import {z} from 'zod';
import type {DataCentreId, EndpointId, VmId} from './ids.js';

export type EndpointKind = 'engine' | 'service';

/** An endpoint as the platform's VM list gives it. */
export interface EndpointInfo {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Name that rules route to. */
  readonly group: string;
  /** Model served, for engines. */
  readonly model?: string;
  readonly state: 'live' | 'leaving';
  /** Whether the engine refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
}

/** One of the service's own VMs as the VM list gives it. */
export interface VmInfo {
  readonly id: VmId;
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string;
  /** `ip:port` of the caller listener, to which other VMs forward. */
  readonly callerAddress: string;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
}

export interface VmList {
  readonly vms: readonly VmInfo[];
  readonly endpoints: readonly EndpointInfo[];
}

const stateSchema = z.enum(['live', 'leaving']);

/** Decodes the VM list's answer. */
export const vmListSchema = z.object({
  vms: z.array(
    z.object({
      id: z.string().min(1),
      peerAddress: z.string(),
      callerAddress: z.string(),
      dataCentre: z.string().min(1),
      state: stateSchema,
    }),
  ),
  endpoints: z.array(
    z.object({
      id: z.string().min(1),
      kind: z.enum(['engine', 'service']),
      address: z.string(),
      dataCentre: z.string().min(1),
      group: z.string().min(1),
      model: z.string().optional(),
      state: stateSchema,
      checksFencing: z.boolean(),
    }),
  ),
});

/** An endpoint's own load, as it reports it; the report lags. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens of requests that wait or are being prefilled. */
  readonly waitingPromptTokens: number;
  /** Tokens generated a second over the engine's last second, all requests. */
  readonly tokensPerSecond: number;
  /** The version the engine now starts requests with; 0 for plain services. */
  readonly weightVersion: number;
  readonly leaving: boolean;
  /** Unix ms at the engine when these figures were taken. */
  readonly measuredAtMs: number;
}

/** Decodes an endpoint's answer to `GET /load`. */
export const loadReportSchema = z.object({
  running: z.number().int().min(0),
  waiting: z.number().int().min(0),
  waitingPromptTokens: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  weightVersion: z.number().int().min(0),
  leaving: z.boolean(),
  measuredAtMs: z.number(),
});

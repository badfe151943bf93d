/**
 * Endpoints and VMs as described by the platform's VM list and the endpoints' load
 * reports.
 */

import {z} from 'zod';
import type {DataCentreId, EndpointId, VmId} from './ids.js';

export type EndpointKind = 'engine' | 'service';

/** An endpoint's entry in the platform's VM list. */
export interface EndpointInfo {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreId;
  /** Group name that rules route to. */
  readonly group: string;
  /** Served model; set for engines only. */
  readonly model?: string;
  readonly state: 'live' | 'leaving';
  /** Whether the engine rejects weight orders with an outdated fencing number. */
  readonly checksFencing: boolean;
}

/** The entry of one of the service's own VMs in the VM list. */
export interface VmInfo {
  readonly id: VmId;
  /** `ip:port` of the peer listener. */
  readonly peerAddress: string;
  /** `ip:port` of the caller listener, to which other VMs forward requests. */
  readonly callerAddress: string;
  readonly dataCentre: DataCentreId;
  readonly state: 'live' | 'leaving';
}

export interface VmList {
  readonly vms: readonly VmInfo[];
  readonly endpoints: readonly EndpointInfo[];
}

const stateSchema = z.enum(['live', 'leaving']);

/** Validates the response of the VM list. */
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

/** The load that an endpoint reports of itself; always somewhat out of date. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  readonly running: number;
  readonly waiting: number;
  /** Prompt tokens of requests that are queued or being prefilled. */
  readonly waitingPromptTokens: number;
  /** Tokens generated for all requests within the engine's last second. */
  readonly tokensPerSecond: number;
  /** Weight version that new requests start with; 0 for plain services. */
  readonly weightVersion: number;
  readonly leaving: boolean;
  /** Unix ms by the engine's clock at which these values were measured. */
  readonly measuredAtMs: number;
}

/** Validates an endpoint's response to `GET /load`. */
export const loadReportSchema = z.object({
  running: z.number().int().min(0),
  waiting: z.number().int().min(0),
  waitingPromptTokens: z.number().min(0),
  tokensPerSecond: z.number().min(0),
  weightVersion: z.number().int().min(0),
  leaving: z.boolean(),
  measuredAtMs: z.number(),
});

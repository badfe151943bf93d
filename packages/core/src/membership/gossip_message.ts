/** What VMs tell one another. The codec in `wire` fixes the bytes. */

import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import type {ConfigTransfer} from '../rules/config_history.js';
import type {Member} from './member.js';

/** News that travels from VM to VM until all have it. */
export type Rumour =
  | {readonly kind: 'member'; readonly member: Member}
  /** A request like this ran on an endpoint that crashed. */
  | {readonly kind: 'suspect_request'; readonly fingerprint: string}
  /** An endpoint stopped answering on connections that were open. */
  | {
      readonly kind: 'silent_endpoint';
      readonly endpoint: EndpointId;
      /** Unix ms at the VM that noticed; tells two occasions apart. */
      readonly seenAtMs: number;
    };

/** The number of works that a VM has in flight on one endpoint. */
export interface LoadEntry {
  readonly endpoint: EndpointId;
  readonly inFlight: number;
}

/** Changes of a VM's digest since its last message on the same connection. */
export interface LoadDelta {
  /** True when entries that are not named are 0. */
  readonly full: boolean;
  readonly entries: readonly LoadEntry[];
}

/** Rides on every probe and answer. */
export interface GossipPayload {
  /** Left out when the connection has carried it already. */
  readonly self?: Member;
  readonly rumours: readonly Rumour[];
  readonly load?: LoadDelta;
  /** Offset of the first config record that the sender does not have. */
  readonly configNext: number;
  /** A VM that knows nobody yet asks for the whole directory. */
  readonly wantsMembers: boolean;
}

export type GossipMessage =
  | {
      readonly kind: 'ping';
      readonly seq: number;
      readonly payload: GossipPayload;
    }
  | {
      readonly kind: 'ack';
      readonly seq: number;
      readonly payload: GossipPayload;
    }
  /** Asks a third VM to probe `target`. */
  | {
      readonly kind: 'probe_request';
      readonly target: VmId;
      readonly address: string;
    }
  /** The third VM heard from `target`. */
  | {readonly kind: 'probe_heard'; readonly target: VmId}
  | {readonly kind: 'members'; readonly members: readonly Member[]}
  | {readonly kind: 'config_request'; readonly from: number}
  | {
      readonly kind: 'config_transfer';
      readonly transfer: ConfigTransfer;
    };

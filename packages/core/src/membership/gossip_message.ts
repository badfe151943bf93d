/** Messages between VMs. The codec in `wire` defines their encoding. */

import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import type {ConfigTransfer} from '../rules/config_history.js';
import type {Member} from './member.js';

/** An update that is passed from VM to VM until all have it. */
export type Rumour =
  | {readonly kind: 'member'; readonly member: Member}
  /**
   * A request with this fingerprint was running on an endpoint that crashed.
   */
  | {readonly kind: 'suspect_request'; readonly fingerprint: string}
  /** An endpoint stopped answering on its open connections. */
  | {
      readonly kind: 'silent_endpoint';
      readonly endpoint: EndpointId;
      /**
       * Unix ms at the VM that detected it; distinguishes separate occurrences.
       */
      readonly seenAtMs: number;
    };

/** Number of work items that a VM has in flight on one endpoint. */
export interface LoadEntry {
  readonly endpoint: EndpointId;
  readonly inFlight: number;
}

/** Changes of a VM's load since its last message on the same connection. */
export interface LoadDelta {
  /** Whether endpoints without an entry are 0. */
  readonly full: boolean;
  readonly entries: readonly LoadEntry[];
}

/** Data carried by every `ping` and `ack`. */
export interface GossipPayload {
  /** Omitted if it was already sent on this connection. */
  readonly self?: Member;
  readonly rumours: readonly Rumour[];
  readonly load?: LoadDelta;
  /** Offset of the first config record that the sender does not have. */
  readonly configNext: number;
  /** Requests the complete directory; set by a VM that has not received it. */
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
  /** Requests that the receiver probe `target` for the sender. */
  | {
      readonly kind: 'probe_request';
      readonly target: VmId;
      readonly address: string;
    }
  /** Reports to the requester of a probe that `target` sent a message. */
  | {readonly kind: 'probe_heard'; readonly target: VmId}
  | {readonly kind: 'members'; readonly members: readonly Member[]}
  | {readonly kind: 'config_request'; readonly from: number}
  | {
      readonly kind: 'config_transfer';
      readonly transfer: ConfigTransfer;
    };

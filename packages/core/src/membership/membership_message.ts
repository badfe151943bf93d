/** Events that a VM's membership handles and actions that it returns. */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import type {ConfigTransfer} from '../rules/config_history.js';
import type {GossipMessage} from './gossip_message.js';
import type {InFlight} from './load_delta.js';
import type {Member} from './member.js';

export type MembershipEvent =
  /** Sent about every 100 ms. */
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'message';
      readonly from: VmId;
      readonly message: GossipMessage;
    }
  /** A connection to a VM was established, whichever side opened it. */
  | {readonly kind: 'linked'; readonly member: Member}
  | {readonly kind: 'vm_list'; readonly vms: readonly VmInfo[]}
  /** This VM's own work items in flight. */
  | {readonly kind: 'own_load'; readonly inFlight: InFlight}
  | {readonly kind: 'own_suspects'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'own_silent_endpoint'; readonly endpoint: EndpointId}
  /** This VM folded the config stream up to `next`. */
  | {readonly kind: 'config_offset'; readonly next: number}
  /** Config records that were read in response to `serve_config`. */
  | {
      readonly kind: 'config_read';
      readonly to: VmId;
      readonly transfer: ConfigTransfer;
    }
  | {readonly kind: 'leave'};

export type MembershipAction =
  | {
      readonly kind: 'send';
      readonly to: VmId;
      readonly address: string;
      readonly message: GossipMessage;
    }
  /** Drop the connections to this VM; the next send opens a new one. */
  | {readonly kind: 'relink'; readonly vm: VmId}
  | {readonly kind: 'dial'; readonly address: string}
  /** IDs of the serving VMs, including this one unless it is leaving. */
  | {readonly kind: 'vms'; readonly vms: readonly VmId[]}
  | {
      readonly kind: 'peer_load';
      readonly vm: VmId;
      readonly inFlight: InFlight;
    }
  | {readonly kind: 'suspects'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'silent_endpoint'; readonly endpoint: EndpointId}
  /** Read config records and answer with the event `config_read`. */
  | {readonly kind: 'serve_config'; readonly to: VmId; readonly from: number}
  | {
      readonly kind: 'config_transfer';
      readonly transfer: ConfigTransfer;
    }
  /** Highest config offset reported by any VM. */
  | {readonly kind: 'config_seen'; readonly next: number};

export interface MembershipConfig {
  /**
   * This VM; its incarnation is the Unix ms of its start, so restarts raise it.
   */
  readonly self: Member;
  /** Addresses of VMs to dial first, from the settings. */
  readonly seeds: readonly string[];
}

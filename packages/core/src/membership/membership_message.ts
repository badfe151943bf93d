/** What a VM's membership is told, and what it wants done. */

import type {VmInfo} from '@radishyoke/shared/endpoint';
import type {EndpointId, VmId} from '@radishyoke/shared/ids';
import type {ConfigTransfer} from '../rules/config_history.js';
import type {GossipMessage} from './gossip_message.js';
import type {InFlight} from './load_digest.js';
import type {Member} from './member.js';

export type MembershipEvent =
  /** Sent every 100 ms or so. */
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'message';
      readonly from: VmId;
      readonly message: GossipMessage;
    }
  /** A connection to a VM began, whichever side opened it. */
  | {readonly kind: 'linked'; readonly member: Member}
  | {readonly kind: 'vm_list'; readonly vms: readonly VmInfo[]}
  /** This VM's own works in flight. */
  | {readonly kind: 'own_load'; readonly inFlight: InFlight}
  | {readonly kind: 'own_suspects'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'own_silent_endpoint'; readonly endpoint: EndpointId}
  /** This VM folded the config stream up to `next`. */
  | {readonly kind: 'config_offset'; readonly next: number}
  /** Records read for a VM that asked by `serve_config`. */
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
  /** Drop the connections to this VM; the next send opens another. */
  | {readonly kind: 'relink'; readonly vm: VmId}
  | {readonly kind: 'dial'; readonly address: string}
  /** Serving VMs, this one included unless it leaves. */
  | {readonly kind: 'vms'; readonly vms: readonly VmId[]}
  | {
      readonly kind: 'peer_load';
      readonly vm: VmId;
      readonly inFlight: InFlight;
    }
  | {readonly kind: 'suspects'; readonly fingerprints: readonly string[]}
  | {readonly kind: 'silent_endpoint'; readonly endpoint: EndpointId}
  /** Answer by the event `config_read`. */
  | {readonly kind: 'serve_config'; readonly to: VmId; readonly from: number}
  | {
      readonly kind: 'config_transfer';
      readonly transfer: ConfigTransfer;
    }
  /** Greatest config offset that any VM told of. */
  | {readonly kind: 'config_seen'; readonly next: number};

export interface MembershipConfig {
  /** This VM; its incarnation, the Unix ms of its start, grows with each life. */
  readonly self: Member;
  /** Addresses of VMs from the settings. */
  readonly seeds: readonly string[];
}

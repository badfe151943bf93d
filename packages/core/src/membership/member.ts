/**
 * The belief of one VM about another, and which of two beliefs takes
 * precedence.
 *
 * A belief carries the incarnation of its subject. Only that VM raises its
 * incarnation, so it can always refute a wrong suspicion with a newer belief
 * about itself, and older beliefs never override newer ones.
 */

import type {DataCentreId, VmId} from '@radishyoke/shared/ids';

/**
 * `leaving` VMs respond to peers but accept no new work; `failed` VMs count as
 * stopped.
 */
export type MemberState = 'alive' | 'leaving' | 'suspect' | 'failed';

/** The index is the wire code; at equal incarnations later states win. */
export const MEMBER_STATES: readonly MemberState[] = [
  'alive',
  'leaving',
  'suspect',
  'failed',
];

/** A belief about one VM. */
export interface Member {
  readonly id: VmId;
  /** `ip:port` of the VM's peer listener. */
  readonly peerAddress: string;
  /** `ip:port` of the VM's caller listener. */
  readonly callerAddress: string;
  readonly dataCentre: DataCentreId;
  /** 0 if only the VM list has reported the VM. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Whether `update` replaces `current`; an equal belief does not. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return (
    MEMBER_STATES.indexOf(update.state) > MEMBER_STATES.indexOf(current.state)
  );
}

/** Whether the VM counts among the VMs that share the work. */
export function isServing(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}

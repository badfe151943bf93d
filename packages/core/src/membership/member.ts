/**
 * What one VM believes of another, and which of two beliefs holds.
 *
 * A belief carries the incarnation of the VM it is about. Only that VM raises
 * its incarnation, so that it can always answer a wrong suspicion with a newer
 * belief about itself, and old news never overrides newer news.
 */

import type {DataCentreId, VmId} from '@radishyoke/shared/ids';

/** `leaving` VMs answer peers but take no new work; `failed` ones are gone. */
export type MemberState = 'alive' | 'leaving' | 'suspect' | 'failed';

/** Index is the code on the wire; later states win at equal incarnations. */
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
  /** 0 when known from the VM list only. */
  readonly incarnation: number;
  readonly state: MemberState;
}

/** Whether `news` replaces `held`. A strict order: equal beliefs do not. */
export function supersedes(update: Member, current: Member): boolean {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation;
  }
  return (
    MEMBER_STATES.indexOf(update.state) > MEMBER_STATES.indexOf(current.state)
  );
}

/** Whether the VM counts as one of those that share the work. */
export function isServing(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}

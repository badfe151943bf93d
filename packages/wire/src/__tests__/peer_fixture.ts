/** Members and arbitrary messages for tests of the connections between VMs. */

import type {GossipMessage} from '@radishyoke/core/membership/gossip_message';
import {Member, MEMBER_STATES} from '@radishyoke/core/membership/member';
import {
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toTeamId,
  toVmId,
} from '@radishyoke/shared/ids';
import fc from 'fast-check';

export function createMember(fields: Partial<Member> = {}): Member {
  return {
    id: toVmId('vm-1'),
    peerAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    dataCentre: toDataCentreId('dc-1'),
    incarnation: 5,
    state: 'alive',
    ...fields,
  };
}

const nameArb = fc.string({minLength: 1, maxLength: 20});
const countArb = fc.nat();
const memberArb = fc
  .record({
    id: nameArb.map(toVmId),
    incarnation: countArb,
    state: fc.constantFrom(...MEMBER_STATES),
  })
  .map(createMember);
const endpointArb = nameArb.map(toEndpointId);
const rumourArb = fc.oneof(
  fc.record({kind: fc.constant('member' as const), member: memberArb}),
  fc.record({
    kind: fc.constant('suspect_request' as const),
    fingerprint: nameArb,
  }),
  fc.record({
    kind: fc.constant('silent_endpoint' as const),
    endpoint: endpointArb,
    seenAtMs: countArb,
  }),
);
const payloadArb = fc.record(
  {
    self: memberArb,
    rumours: fc.array(rumourArb, {maxLength: 6}),
    load: fc.record({
      full: fc.boolean(),
      entries: fc.array(
        fc.record({endpoint: endpointArb, inFlight: countArb}),
        {maxLength: 9},
      ),
    }),
    configNext: countArb,
    wantsMembers: fc.boolean(),
  },
  {requiredKeys: ['rumours', 'configNext', 'wantsMembers']},
);
const recordArb = fc.record({
  offset: countArb,
  timeMs: countArb,
  value: fc.record({
    kind: fc.constant('config_published' as const),
    stamp: fc.record({
      vm: nameArb.map(toVmId),
      incarnation: nameArb.map(toIncarnationId),
      seq: countArb,
    }),
    team: nameArb.map(toTeamId),
    basedOn: fc.integer({min: -1}),
    author: fc.string(),
    text: fc.string(),
  }),
});

const snapshotArb = fc.record({
  next: countArb,
  clock: fc.record({nowMs: countArb, lastRawMs: countArb}),
  writers: fc.array(fc.tuple(nameArb, countArb, countArb), {maxLength: 3}),
  teams: fc.array(
    fc.array(
      fc.record({
        team: nameArb.map(toTeamId),
        version: countArb,
        basedOn: fc.integer({min: -1}),
        author: fc.string(),
        text: fc.string(),
        publishedAtMs: countArb,
      }),
      {maxLength: 2},
    ),
    {maxLength: 2},
  ),
});

/** Generates any message that a VM may send. */
export const messageArb: fc.Arbitrary<GossipMessage> = fc.oneof(
  fc.record({
    kind: fc.constant('ping' as const),
    seq: countArb,
    payload: payloadArb,
  }),
  fc.record({
    kind: fc.constant('ack' as const),
    seq: countArb,
    payload: payloadArb,
  }),
  fc.record({
    kind: fc.constant('probe_request' as const),
    target: nameArb.map(toVmId),
    address: nameArb,
  }),
  fc.record({
    kind: fc.constant('probe_heard' as const),
    target: nameArb.map(toVmId),
  }),
  fc.record({
    kind: fc.constant('members' as const),
    members: fc.array(memberArb, {maxLength: 5}),
  }),
  fc.record({kind: fc.constant('config_request' as const), from: countArb}),
  fc.record({
    kind: fc.constant('config_transfer' as const),
    transfer: fc.oneof(
      fc.record({
        kind: fc.constant('records' as const),
        records: fc.array(recordArb, {maxLength: 4}),
      }),
      fc.record({
        kind: fc.constant('snapshot' as const),
        snapshot: snapshotArb,
      }),
    ),
  }),
);

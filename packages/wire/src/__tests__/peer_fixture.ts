/** Members and messages for tests of the connections between VMs. */

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

const name = fc.string({minLength: 1, maxLength: 20});
const count = fc.nat();
const member = fc
  .record({
    id: name.map(toVmId),
    incarnation: count,
    state: fc.constantFrom(...MEMBER_STATES),
  })
  .map(createMember);
const endpoint = name.map(toEndpointId);
const rumour = fc.oneof(
  fc.record({kind: fc.constant('member' as const), member}),
  fc.record({
    kind: fc.constant('suspect_request' as const),
    fingerprint: name,
  }),
  fc.record({
    kind: fc.constant('silent_endpoint' as const),
    endpoint,
    seenAtMs: count,
  }),
);
const payload = fc.record(
  {
    self: member,
    rumours: fc.array(rumour, {maxLength: 6}),
    load: fc.record({
      full: fc.boolean(),
      entries: fc.array(fc.record({endpoint, inFlight: count}), {maxLength: 9}),
    }),
    configNext: count,
    wantsMembers: fc.boolean(),
  },
  {requiredKeys: ['rumours', 'configNext', 'wantsMembers']},
);
const record = fc.record({
  offset: count,
  timeMs: count,
  value: fc.record({
    kind: fc.constant('config_published' as const),
    stamp: fc.record({
      vm: name.map(toVmId),
      incarnation: name.map(toIncarnationId),
      seq: count,
    }),
    team: name.map(toTeamId),
    basedOn: fc.integer({min: -1}),
    author: fc.string(),
    text: fc.string(),
  }),
});

const snapshot = fc.record({
  next: count,
  clock: fc.record({nowMs: count, lastRawMs: count}),
  writers: fc.array(fc.tuple(name, count, count), {maxLength: 3}),
  teams: fc.array(
    fc.array(
      fc.record({
        team: name.map(toTeamId),
        version: count,
        basedOn: fc.integer({min: -1}),
        author: fc.string(),
        text: fc.string(),
        publishedAtMs: count,
      }),
      {maxLength: 2},
    ),
    {maxLength: 2},
  ),
});

/** Any message that a VM may send. */
export const anyMessage: fc.Arbitrary<GossipMessage> = fc.oneof(
  fc.record({kind: fc.constant('ping' as const), seq: count, payload}),
  fc.record({kind: fc.constant('ack' as const), seq: count, payload}),
  fc.record({
    kind: fc.constant('probe_request' as const),
    target: name.map(toVmId),
    address: name,
  }),
  fc.record({
    kind: fc.constant('probe_heard' as const),
    target: name.map(toVmId),
  }),
  fc.record({
    kind: fc.constant('members' as const),
    members: fc.array(member, {maxLength: 5}),
  }),
  fc.record({kind: fc.constant('config_request' as const), from: count}),
  fc.record({
    kind: fc.constant('config_transfer' as const),
    transfer: fc.oneof(
      fc.record({
        kind: fc.constant('records' as const),
        records: fc.array(record, {maxLength: 4}),
      }),
      fc.record({kind: fc.constant('snapshot' as const), snapshot}),
    ),
  }),
);

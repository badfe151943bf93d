/**
 * Binary encoding of the messages between VMs. Objects are packed as arrays to save
 * the bytes of property names. The schemas validate received data and build the typed
 * message; a message that does not match is refused completely.
 */

import type {
  ConfigTransfer,
  ConfigVersion,
} from '@radishyoke/core/rules/config_history';
import type {
  GossipMessage,
  GossipPayload,
  LoadDelta,
  Rumour,
} from '@radishyoke/core/membership/gossip_message';
import {Member, MEMBER_STATES} from '@radishyoke/core/membership/member';
import {createError} from '@radishyoke/shared/error_kind';
import {
  toDataCentreId,
  toEndpointId,
  toIncarnationId,
  toTeamId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {ConfigRecord} from '@radishyoke/shared/log_record';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {Packr} from 'msgpackr';
import {z} from 'zod';

const MESSAGE_CODES = {
  ping: 1,
  ack: 2,
  probe_request: 3,
  probe_heard: 4,
  members: 5,
  config_request: 6,
  config_transfer: 7,
} as const satisfies Record<GossipMessage['kind'], number>;

const RUMOUR_CODES = {
  member: 0,
  suspect_request: 1,
  silent_endpoint: 2,
} as const satisfies Record<Rumour['kind'], number>;

/** Limits beyond which a message is malformed, whatever its size in bytes. */
const MAX_NAME_CHARS = 200;
const MAX_RUMOURS = 64;
const MAX_LOAD_ENTRIES = 256;
const MAX_MEMBERS = 1024;
const MAX_RECORDS = 4096;

// The record extension keeps state across messages: one lost definition would make
// all later messages unreadable.
const packr = new Packr({useRecords: false});

const nameSchema = z.string().min(1).max(MAX_NAME_CHARS);
const countSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

const memberSchema = z
  .tuple([
    nameSchema,
    z.string().max(MAX_NAME_CHARS),
    z.string().max(MAX_NAME_CHARS),
    nameSchema,
    countSchema,
    z
      .number()
      .int()
      .min(0)
      .max(MEMBER_STATES.length - 1),
  ])
  .transform(
    ([
      id,
      peerAddress,
      callerAddress,
      dataCentre,
      incarnation,
      state,
    ]): Member => ({
      id: toVmId(id),
      peerAddress,
      callerAddress,
      dataCentre: toDataCentreId(dataCentre),
      incarnation,
      state: MEMBER_STATES[state],
    }),
  );

const rumourSchema = z.union([
  z
    .tuple([z.literal(RUMOUR_CODES.member), memberSchema])
    .transform(([, member]): Rumour => ({kind: 'member', member})),
  z
    .tuple([z.literal(RUMOUR_CODES.suspect_request), nameSchema])
    .transform(([, fingerprint]): Rumour => ({
      kind: 'suspect_request',
      fingerprint,
    })),
  z
    .tuple([z.literal(RUMOUR_CODES.silent_endpoint), nameSchema, countSchema])
    .transform(([, endpoint, seenAtMs]): Rumour => ({
      kind: 'silent_endpoint',
      endpoint: toEndpointId(endpoint),
      seenAtMs,
    })),
]);

const loadSchema = z
  .tuple([
    z.boolean(),
    z.array(z.tuple([nameSchema, countSchema])).max(MAX_LOAD_ENTRIES),
  ])
  .transform(([full, entries]): LoadDelta => ({
    full,
    entries: entries.map(([endpoint, inFlight]) => ({
      endpoint: toEndpointId(endpoint),
      inFlight,
    })),
  }));

const payloadSchema = z
  .tuple([
    memberSchema.nullable(),
    z.array(rumourSchema).max(MAX_RUMOURS),
    loadSchema.nullable(),
    countSchema,
    z.boolean(),
  ])
  .transform(
    ([self, rumours, load, configNext, wantsMembers]): GossipPayload => ({
      ...(self && {self}),
      rumours,
      ...(load && {load}),
      configNext,
      wantsMembers,
    }),
  );

const stampSchema = z
  .strictObject({vm: nameSchema, incarnation: nameSchema, seq: countSchema})
  .transform(({vm, incarnation, seq}) => ({
    vm: toVmId(vm),
    incarnation: toIncarnationId(incarnation),
    seq,
  }));

const configRecordSchema = z.discriminatedUnion('kind', [
  z
    .strictObject({
      kind: z.literal('config_published'),
      stamp: stampSchema,
      team: nameSchema,
      basedOn: z.number().int().min(-1),
      author: z.string(),
      text: z.string(),
    })
    .transform((value): ConfigRecord => ({
      ...value,
      team: toTeamId(value.team),
    })),
  z.strictObject({
    kind: z.literal('checkpoint_part'),
    stamp: stampSchema,
    asOf: countSchema,
    part: countSchema,
    parts: countSchema,
    digest: nameSchema,
    text: z.string(),
  }),
]);

const versionSchema = z
  .strictObject({
    team: nameSchema,
    version: countSchema,
    basedOn: z.number().int().min(-1),
    author: z.string(),
    text: z.string(),
    publishedAtMs: z.number(),
  })
  .transform((value): ConfigVersion => ({
    ...value,
    team: toTeamId(value.team),
  }));

const transferSchema: z.ZodType<ConfigTransfer> = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('records'),
    records: z
      .array(
        z.strictObject({
          offset: countSchema,
          timeMs: z.number(),
          value: configRecordSchema,
        }),
      )
      .max(MAX_RECORDS),
  }),
  z.strictObject({
    kind: z.literal('snapshot'),
    snapshot: z.strictObject({
      next: countSchema,
      clock: z.strictObject({nowMs: z.number(), lastRawMs: z.number()}),
      writers: z.array(z.tuple([z.string(), countSchema, z.number()])),
      teams: z.array(z.array(versionSchema)),
    }),
  }),
]);

const messageSchema = z.union([
  z
    .tuple([z.literal(MESSAGE_CODES.ping), countSchema, payloadSchema])
    .transform(([, seq, payload]): GossipMessage => ({
      kind: 'ping',
      seq,
      payload,
    })),
  z
    .tuple([z.literal(MESSAGE_CODES.ack), countSchema, payloadSchema])
    .transform(([, seq, payload]): GossipMessage => ({
      kind: 'ack',
      seq,
      payload,
    })),
  z
    .tuple([z.literal(MESSAGE_CODES.probe_request), nameSchema, nameSchema])
    .transform(([, target, address]): GossipMessage => ({
      kind: 'probe_request',
      target: toVmId(target),
      address,
    })),
  z
    .tuple([z.literal(MESSAGE_CODES.probe_heard), nameSchema])
    .transform(([, target]): GossipMessage => ({
      kind: 'probe_heard',
      target: toVmId(target),
    })),
  z
    .tuple([
      z.literal(MESSAGE_CODES.members),
      z.array(memberSchema).max(MAX_MEMBERS),
    ])
    .transform(([, members]): GossipMessage => ({kind: 'members', members})),
  z
    .tuple([z.literal(MESSAGE_CODES.config_request), countSchema])
    .transform(([, from]): GossipMessage => ({kind: 'config_request', from})),
  z
    .tuple([z.literal(MESSAGE_CODES.config_transfer), transferSchema])
    .transform(([, transfer]): GossipMessage => ({
      kind: 'config_transfer',
      transfer,
    })),
]);

export function encodePeerMessage(message: GossipMessage): Buffer {
  return packr.pack(toMessageWire(message));
}

/** Decodes one message; fails with `bad_request` if `bytes` is not a valid message. */
export function decodePeerMessage(bytes: Buffer): Result<GossipMessage> {
  return decodeWithSchema(messageSchema, bytes);
}

/** Unpacks and validates untrusted bytes. */
export function decodeWithSchema<T>(
  schema: z.ZodType<T>,
  bytes: Buffer,
): Result<T> {
  try {
    const parsed = schema.safeParse(packr.unpack(bytes));
    if (parsed.success) return succeed(parsed.data);
    return fail(createError('bad_request', parsed.error.message));
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return fail(createError('bad_request', detail));
  }
}

function toMessageWire(message: GossipMessage): readonly unknown[] {
  const code = MESSAGE_CODES[message.kind];
  switch (message.kind) {
    case 'ping':
    case 'ack':
      return [code, message.seq, toPayloadWire(message.payload)];
    case 'probe_request':
      return [code, message.target, message.address];
    case 'probe_heard':
      return [code, message.target];
    case 'members':
      return [code, message.members.map(toMemberWire)];
    case 'config_request':
      return [code, message.from];
    case 'config_transfer':
      return [code, message.transfer];
  }
}

function toPayloadWire(payload: GossipPayload): readonly unknown[] {
  const {self, rumours, load, configNext, wantsMembers} = payload;
  return [
    self ? toMemberWire(self) : null,
    rumours.map(toRumourWire),
    load ? [load.full, load.entries.map(e => [e.endpoint, e.inFlight])] : null,
    configNext,
    wantsMembers,
  ];
}

function toMemberWire(member: Member): readonly unknown[] {
  return [
    member.id,
    member.peerAddress,
    member.callerAddress,
    member.dataCentre,
    member.incarnation,
    MEMBER_STATES.indexOf(member.state),
  ];
}

function toRumourWire(rumour: Rumour): readonly unknown[] {
  const code = RUMOUR_CODES[rumour.kind];
  switch (rumour.kind) {
    case 'member':
      return [code, toMemberWire(rumour.member)];
    case 'suspect_request':
      return [code, rumour.fingerprint];
    case 'silent_endpoint':
      return [code, rumour.endpoint, rumour.seenAtMs];
  }
}

/** The encoding of a VM's description, which the handshake also uses. */
export {memberSchema, packr, toMemberWire};

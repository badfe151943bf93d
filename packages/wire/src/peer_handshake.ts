/**
 * Admission of a peer by the shared key. Each side proves the key by an HMAC
 * over both sides' random numbers and its own name; the key is never sent, and
 * a recorded proof is worth nothing against fresh numbers. Later messages rest
 * on the connection: whoever can change bytes on it must be kept out by the
 * network between the VMs.
 */

import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Member} from '@radishyoke/core/membership/member';
import type {Result} from '@radishyoke/shared/result';
import {z} from 'zod';
import {
  decodeWithSchema,
  memberSchema,
  packr,
  toMemberWire,
} from './peer_message.js';

/** Changes when peers of another version could not read the messages. */
const PROTOCOL_VERSION = 1;
export const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

/** Which side of the connection a proof is for; stops its reflection. */
export type PeerRole = 'client' | 'server';

/** The server's first message. */
export interface Challenge {
  readonly nonce: Buffer;
}

/** The client's answer and, with its own nonce ignored, the server's. */
export interface Proof {
  readonly nonce: Buffer;
  readonly member: Member;
  readonly proof: Buffer;
}

/** The random numbers of both sides. */
export interface Nonces {
  readonly client: Buffer;
  readonly server: Buffer;
}

const bytes = (size: number) =>
  z.custom<Buffer>(value => Buffer.isBuffer(value) && value.length === size);

const challengeSchema = z
  .tuple([z.literal(PROTOCOL_VERSION), bytes(NONCE_BYTES)])
  .transform(([, nonce]): Challenge => ({nonce}));

const proofSchema = z
  .tuple([
    z.literal(PROTOCOL_VERSION),
    bytes(NONCE_BYTES),
    memberSchema,
    bytes(PROOF_BYTES),
  ])
  .transform(([, nonce, member, proof]): Proof => ({nonce, member, proof}));

export function encodeChallenge(challenge: Challenge): Buffer {
  return packr.pack([PROTOCOL_VERSION, challenge.nonce]);
}

export function decodeChallenge(data: Buffer): Result<Challenge> {
  return decodeWithSchema(challengeSchema, data);
}

export function encodeProof({nonce, member, proof}: Proof): Buffer {
  return packr.pack([PROTOCOL_VERSION, nonce, toMemberWire(member), proof]);
}

export function decodeProof(data: Buffer): Result<Proof> {
  return decodeWithSchema(proofSchema, data);
}

/** What `role` sends to show that it knows the key. */
export function computeProof(
  sharedKey: string,
  role: PeerRole,
  nonces: Nonces,
  member: Member,
): Buffer {
  return createHmac('sha256', sharedKey)
    .update(role)
    .update(nonces.client)
    .update(nonces.server)
    .update(packr.pack(toMemberWire(member)))
    .digest();
}

/** Compares in constant time: how long it takes tells nothing of the key. */
export function isValidProof(expected: Buffer, received: Buffer): boolean {
  return (
    expected.length === received.length && timingSafeEqual(expected, received)
  );
}

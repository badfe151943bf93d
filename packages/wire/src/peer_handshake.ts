/**
 * Mutual authentication of two VMs by a shared key. Each side sends an HMAC over both
 * nonces and its own description; the key is never sent, and fresh nonces make recorded
 * proofs useless. Later messages are not authenticated: the network between the VMs
 * must prevent tampering with an open connection.
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

/**
 * Must change whenever messages become unreadable for peers of the previous version.
 */
const PROTOCOL_VERSION = 1;
export const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

/**
 * The side that sends a proof; part of the HMAC, so that a proof cannot be
 * reflected.
 */
export type PeerRole = 'client' | 'server';

/** The server's first message. */
export interface Challenge {
  readonly nonce: Buffer;
}

/**
 * The client's reply to the challenge, and the server's reply to it, whose nonce is
 * ignored.
 */
export interface Proof {
  readonly nonce: Buffer;
  readonly member: Member;
  readonly proof: Buffer;
}

/** The nonces of both sides. */
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

/** Computes the proof by which `role` shows that it knows the key. */
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

/**
 * Compares in constant time, so that the duration reveals nothing about the expected
 * proof.
 */
export function isValidProof(expected: Buffer, received: Buffer): boolean {
  return (
    expected.length === received.length && timingSafeEqual(expected, received)
  );
}

/**
 * One connection to another VM: handshake, messages and detection of silent
 * connections. The handler is notified how the link ended and may open another.
 */

import {randomBytes} from 'node:crypto';
import type {GossipMessage} from '@radishyoke/core/membership/gossip_message';
import type {Member} from '@radishyoke/core/membership/member';
import {WebSocket} from 'ws';
import {PeerCounters} from './peer_counters.js';
import {
  computeProof,
  decodeChallenge,
  decodeProof,
  encodeChallenge,
  encodeProof,
  isValidProof,
  NONCE_BYTES,
  Nonces,
  PeerRole,
  Proof,
} from './peer_handshake.js';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';

export const PEER_LINK_LIMITS = {
  /** Maximum time from the start of the connection to the end of the handshake. */
  handshakeMs: 2000,
  /** Time without received data after which a ping is sent. */
  pingAfterMs: 2000,
  /** Time without received data after which the connection is closed as silent. */
  silentAfterMs: 4000,
  checkIntervalMs: 500,
  /** A peer that leaves more than this unread is disconnected. */
  maxUnsentBytes: 8 * 1024 * 1024,
} as const;

/** Why a link ended. */
export type LinkEnd =
  | 'closed'
  | 'unauthorized'
  | 'malformed'
  | 'silent'
  | 'slow'
  | 'handshake_timeout';

export interface PeerLinkOptions {
  readonly sharedKey: string;
  readonly maxMessageBytes: number;
  /** Returns the current description of this VM. */
  readonly describeSelf: () => Member;
  readonly counters: PeerCounters;
}

/** Callbacks to the owner of a link. */
export interface PeerLinkHandler {
  onOpened(link: PeerLink, peer: Member): void;
  onMessage(link: PeerLink, message: GossipMessage): void;
  /** Called exactly once, after all other callbacks. */
  onEnded(link: PeerLink, end: LinkEnd): void;
}

export class PeerLink {
  /** The VM at the other end; set when the handshake has succeeded. */
  peer: Member | undefined;
  private readonly nonce = randomBytes(NONCE_BYTES);
  private challenge: Buffer | undefined;
  private readonly silenceTimer: NodeJS.Timeout;
  private readonly handshakeTimer: NodeJS.Timeout;
  private lastReceivedAtMs = Date.now();
  private lastCheckedAtMs = Date.now();
  private hasEnded = false;

  constructor(
    private readonly socket: WebSocket,
    private readonly role: PeerRole,
    private readonly options: PeerLinkOptions,
    private readonly handler: PeerLinkHandler,
  ) {
    socket.binaryType = 'nodebuffer';
    socket.on('message', data => this.receive(data as Buffer));
    socket.on('pong', () => this.recordActivity());
    socket.on('ping', () => this.recordActivity());
    socket.on('error', err => this.fail(err));
    socket.on('close', () => this.end('closed'));
    const {checkIntervalMs, handshakeMs} = PEER_LINK_LIMITS;
    this.silenceTimer = setInterval(() => this.checkSilence(), checkIntervalMs);
    this.handshakeTimer = setTimeout(
      () => this.end('handshake_timeout'),
      handshakeMs,
    );
    if (role === 'server') this.write(encodeChallenge({nonce: this.nonce}));
  }

  isOpen(): boolean {
    return this.peer !== undefined && !this.hasEnded;
  }

  /**
   * Sends the message; drops it if the link is not open or the message is too large.
   */
  send(message: GossipMessage): void {
    if (!this.isOpen()) return;
    // A paused peer reads nothing, so unsent data would fill this VM's memory. A
    // peer that is disconnected opens another link when it runs again.
    if (this.socket.bufferedAmount > PEER_LINK_LIMITS.maxUnsentBytes) {
      this.options.counters.slow++;
      return this.end('slow');
    }
    const {counters, maxMessageBytes} = this.options;
    const data = encodePeerMessage(message);
    // The peer would close the connection on it, and all later messages would be lost.
    if (data.length > maxMessageBytes) {
      counters.oversized++;
      return;
    }
    counters.messagesSent++;
    this.write(data);
  }

  close(): void {
    this.end('closed');
  }

  private receive(data: Buffer): void {
    if (this.hasEnded) return;
    this.recordActivity();
    const {counters} = this.options;
    counters.bytesReceived += data.length;
    if (!this.peer) return this.receiveHandshake(data);
    const message = decodePeerMessage(data);
    if (!message.ok) return this.refuse('malformed');
    counters.messagesReceived++;
    this.handler.onMessage(this, message.value);
  }

  private receiveHandshake(data: Buffer): void {
    if (this.role === 'client' && !this.challenge) {
      const challenge = decodeChallenge(data);
      if (!challenge.ok) return this.refuse('malformed');
      this.challenge = challenge.value.nonce;
      return this.writeProof(this.toNonces(this.nonce, this.challenge));
    }
    const proof = decodeProof(data);
    if (!proof.ok) return this.refuse('malformed');
    this.verifyProof(proof.value);
  }

  private verifyProof(received: Proof): void {
    const nonces =
      this.role === 'server'
        ? this.toNonces(received.nonce, this.nonce)
        : this.toNonces(this.nonce, this.challenge!);
    const remoteRole: PeerRole = this.role === 'server' ? 'client' : 'server';
    const {sharedKey, counters} = this.options;
    const expected = computeProof(
      sharedKey,
      remoteRole,
      nonces,
      received.member,
    );
    if (!isValidProof(expected, received.proof)) {
      return this.refuse('unauthorized');
    }
    if (this.role === 'server') this.writeProof(nonces);
    clearTimeout(this.handshakeTimer);
    this.peer = received.member;
    counters.opened++;
    this.handler.onOpened(this, received.member);
  }

  private toNonces(client: Buffer, server: Buffer): Nonces {
    return {client, server};
  }

  private writeProof(nonces: Nonces): void {
    const member = this.options.describeSelf();
    const {sharedKey} = this.options;
    const proof = computeProof(sharedKey, this.role, nonces, member);
    this.write(encodeProof({nonce: this.nonce, member, proof}));
  }

  private write(data: Buffer): void {
    if (this.socket.readyState !== WebSocket.OPEN) return;
    this.options.counters.bytesSent += data.length;
    this.socket.send(data);
  }

  private recordActivity(): void {
    this.lastReceivedAtMs = Date.now();
  }

  /**
   * Ends the link when nothing was received for too long. A connection can go silent
   * permanently without an error at either end, for example when a device in between
   * loses its state. A live peer answers pings, so silence means a dead connection.
   */
  private checkSilence(): void {
    const nowMs = Date.now();
    const limits = PEER_LINK_LIMITS;
    const gapMs = nowMs - this.lastCheckedAtMs;
    this.lastCheckedAtMs = nowMs;
    // This VM itself was paused, so data that arrived meanwhile has not been read yet.
    if (gapMs > 2 * limits.checkIntervalMs) return this.recordActivity();
    const silentMs = nowMs - this.lastReceivedAtMs;
    if (silentMs > limits.silentAfterMs) {
      this.options.counters.silent++;
      return this.end('silent');
    }
    if (silentMs <= limits.pingAfterMs) return;
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
  }

  private fail(err: Error & {readonly code?: string}): void {
    // Codes that `ws` uses for violations of the framing or of the size limit.
    if (err.code?.startsWith('WS_ERR')) this.refuse('malformed');
    else this.end('closed');
  }

  private refuse(end: 'malformed' | 'unauthorized'): void {
    this.options.counters[end]++;
    this.end(end);
  }

  private end(end: LinkEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearInterval(this.silenceTimer);
    clearTimeout(this.handshakeTimer);
    this.socket.terminate();
    this.handler.onEnded(this, end);
  }
}

/** Opens a connection to the peer listener at `address`. */
export function openPeerLink(
  address: string,
  options: PeerLinkOptions,
  handler: PeerLinkHandler,
): PeerLink {
  const socket = new WebSocket(`ws://${address}`, {
    maxPayload: options.maxMessageBytes,
    perMessageDeflate: false,
    handshakeTimeout: PEER_LINK_LIMITS.handshakeMs,
  });
  return new PeerLink(socket, 'client', options, handler);
}

/**
 * Hash chains of audit blocks: one chain per writer, in which each block
 * contains the previous block's hash.
 */

import type {Stamp} from '@radishyoke/shared/log_record';
import type {AuditEntry} from './audit_entry.js';
import {canonicalizeJson} from '../ledger/canonical_json.js';
import {computeDigest} from '../ledger/digest.js';

/** The last block of a writer's chain. */
export interface ChainHead {
  /** `vm/incarnation`. */
  readonly writer: string;
  /** Number of the last block; 0 if there is none. */
  readonly number: number;
  /** Hash of that block; empty if there is none. */
  readonly hash: string;
}

/** A head with the log offset of its block. */
export interface LoggedHead extends ChainHead {
  readonly offset: number;
}

/** A record of the stream `audit`, which contains a batch of entries. */
export interface AuditBlock {
  readonly kind: 'audit_block';
  readonly stamp: Stamp;
  readonly writer: string;
  /** Position in the writer's chain, from 1. */
  readonly number: number;
  /** Hash of the writer's previous block; empty for the first. */
  readonly previous: string;
  readonly entries: readonly AuditEntry[];
  /**
   * Heads of other writers' chains that this writer received. They link the
   * chains: whoever rewrites the end of one chain must also rewrite every later
   * block of other chains that contains its head.
   */
  readonly witnessed: readonly LoggedHead[];
  readonly hash: string;
}

/**
 * A block before it gets the stamp that is added when it is appended to the
 * log.
 */
export type UnstampedBlock = Omit<AuditBlock, 'stamp'>;

/** Computes the hash of a block, over everything except its stamp and hash. */
export function hashBlock(block: Partial<AuditBlock>): string {
  const body: Record<string, unknown> = {...block};
  delete body['hash'];
  delete body['stamp'];
  return computeDigest(canonicalizeJson(body));
}

/** Builds the chain of one writer. */
export class AuditChain {
  private lastHead: ChainHead;

  constructor(readonly writer: string) {
    this.lastHead = {writer, number: 0, hash: ''};
  }

  get head(): ChainHead {
    return this.lastHead;
  }

  /** Returns the next block and advances the head. */
  seal(
    entries: readonly AuditEntry[],
    witnessed: readonly LoggedHead[],
  ): UnstampedBlock {
    const body = {
      kind: 'audit_block' as const,
      writer: this.writer,
      number: this.lastHead.number + 1,
      previous: this.lastHead.hash,
      entries,
      witnessed,
    };
    const hash = hashBlock(body);
    this.lastHead = {writer: this.writer, number: body.number, hash};
    return {...body, hash};
  }
}

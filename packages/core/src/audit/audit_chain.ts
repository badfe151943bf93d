/** Chains of audit blocks, one a writer, each block bound to the one before. */

import type {Stamp} from '@radishyoke/shared/log_record';
import type {AuditEntry} from './audit_entry.js';
import {canonicalizeJson} from '../ledger/canonical_json.js';
import {computeDigest} from '../ledger/digest.js';

/** Where a writer's chain stands. */
export interface ChainHead {
  /** `vm/incarnation`. */
  readonly writer: string;
  /** Number of its last block; 0 for none. */
  readonly number: number;
  /** Hash of that block; empty for none. */
  readonly hash: string;
}

/** A head with the offset at which the log took its block. */
export interface LoggedHead extends ChainHead {
  readonly offset: number;
}

/** Many entries in one record of the stream `audit`. */
export interface AuditBlock {
  readonly kind: 'audit_block';
  readonly stamp: Stamp;
  readonly writer: string;
  /** Counts from 1 in the writer's chain. */
  readonly number: number;
  /** Hash of the writer's block before; empty for the first. */
  readonly previous: string;
  readonly entries: readonly AuditEntry[];
  /**
   * Heads of other writers' chains that this writer had learned. They bind the
   * chains to one another: whoever rewrites the end of one has to rewrite every
   * later block that names it too.
   */
  readonly witnessed: readonly LoggedHead[];
  readonly hash: string;
}

/** A block without the stamp that the log's writer adds. */
export type UnstampedBlock = Omit<AuditBlock, 'stamp'>;

/** Hash over all of a block but its stamp and the hash itself. */
export function hashBlock(block: Partial<AuditBlock>): string {
  const body: Record<string, unknown> = {...block};
  delete body['hash'];
  delete body['stamp'];
  return computeDigest(canonicalizeJson(body));
}

/** Chains the blocks of one writer. */
export class AuditChain {
  private lastHead: ChainHead;

  constructor(readonly writer: string) {
    this.lastHead = {writer, number: 0, hash: ''};
  }

  get head(): ChainHead {
    return this.lastHead;
  }

  /** Builds the next block. */
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

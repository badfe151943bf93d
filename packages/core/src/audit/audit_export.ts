/**
 * Exports the audit, so that it can be stored beyond the log's retention, and
 * verifies an export without any other data. An export has one JSON value per
 * line: a header, the records of the stream in order, and a trailer.
 */

import type {LoggedRecord} from '@radishyoke/shared/log_record';
import {
  type AuditBlock,
  type ChainHead,
  hashBlock,
  type LoggedHead,
} from './audit_chain.js';
import {computeDigest} from '../ledger/digest.js';

export type AuditRecord = LoggedRecord<AuditBlock>;

interface ExportHeader {
  readonly kind: 'audit_export';
  readonly format: 1;
  /** Offset of the first record. */
  readonly from: number;
}

interface ExportTrailer {
  readonly kind: 'audit_export_end';
  readonly records: number;
  /** The final head of each writer's chain. */
  readonly heads: readonly ChainHead[];
  /** Chained digest of all preceding lines. */
  readonly digest: string;
}

function extendDigest(digest: string, line: string): string {
  return computeDigest(`${digest}\n${line}`);
}

/** Writes an export line by line. */
export class AuditExporter {
  private digest = '';
  private records = 0;
  private readonly heads = new Map<string, ChainHead>();

  /** Returns the header line; `from` is the offset of the first record. */
  begin(from: number): string {
    const header: ExportHeader = {kind: 'audit_export', format: 1, from};
    return this.emit(header);
  }

  add(record: AuditRecord): string {
    this.records++;
    const {writer, number, hash} = record.value;
    const lastNumber = this.heads.get(writer)?.number ?? 0;
    if (number > lastNumber) this.heads.set(writer, {writer, number, hash});
    return this.emit(record);
  }

  end(): string {
    const trailer: ExportTrailer = {
      kind: 'audit_export_end',
      records: this.records,
      heads: [...this.heads.values()],
      digest: this.digest,
    };
    return JSON.stringify(trailer);
  }

  private emit(value: object): string {
    const line = JSON.stringify(value);
    this.digest = extendDigest(this.digest, line);
    return line;
  }
}

/** A fault found at one line of an export. */
export interface AuditFault {
  /** Line number from 1. */
  readonly line: number;
  readonly problem: string;
}

/** Result of verifying an export. */
export interface AuditReport {
  /** Empty if the export is intact. */
  readonly faults: readonly AuditFault[];
  readonly blocks: number;
  readonly entries: number;
  /**
   * The final head of each writer, to be stored as an anchor for verifying
   * other exports.
   */
  readonly heads: readonly LoggedHead[];
  /** Entries that the service itself reported as dropped. */
  readonly dropped: number;
  /**
   * Writers whose chain starts before the export and is not linked to a given
   * anchor.
   */
  readonly unanchored: readonly string[];
  /**
   * Writers whose chain ends without an orderly shutdown. They are still running
   * or crashed with up to one flush interval of entries unwritten.
   */
  readonly unclosed: readonly string[];
}

interface WriterState {
  readonly head: LoggedHead;
  readonly closed: boolean;
}

/**
 * Verifies an export offline and without any secret. Detects blocks that were
 * changed, dropped, moved or inserted, even if the trailer was adjusted, because
 * blocks are linked to their predecessors and to other writers' blocks. If every
 * chain was rewritten from some block on, that shows only by comparison with
 * heads that were stored elsewhere (`anchors`).
 */
export function verifyExport(
  lines: Iterable<string>,
  anchors: readonly LoggedHead[] = [],
): AuditReport {
  const verifier = new ExportVerifier(anchors);
  for (const line of lines) verifier.verifyLine(line);
  return verifier.finish();
}

class ExportVerifier {
  private readonly faults: AuditFault[] = [];
  private readonly writers = new Map<string, WriterState>();
  private readonly hashByBlock = new Map<string, string>();
  private readonly hashByOffset = new Map<number, string>();
  private readonly witnessed: Array<{line: number; head: LoggedHead}> = [];
  private readonly unanchored = new Set<string>();
  private line = 0;
  private digest = '';
  private from = 0;
  private nextOffset = 0;
  private records = 0;
  private blocks = 0;
  private entries = 0;
  private dropped = 0;
  private ended = false;

  constructor(private readonly anchors: readonly LoggedHead[]) {}

  verifyLine(text: string): void {
    this.line++;
    if (this.ended) return this.report('a line after the trailer');
    const value = parseLine(text);
    if (value === undefined) return this.report('not a JSON object');
    if (this.line === 1) this.verifyHeader(value as Partial<ExportHeader>);
    else if (value['kind'] === 'audit_export_end') {
      return this.verifyTrailer(value as Partial<ExportTrailer>);
    } else this.verifyRecord(value as Partial<AuditRecord>);
    this.digest = extendDigest(this.digest, text);
  }

  finish(): AuditReport {
    if (!this.ended) this.report('the trailer is missing');
    this.checkWitnessed();
    this.checkAnchors();
    const states = [...this.writers.values()];
    return {
      faults: this.faults,
      blocks: this.blocks,
      entries: this.entries,
      heads: states.map(state => state.head),
      dropped: this.dropped,
      unanchored: [...this.unanchored],
      unclosed: states.filter(s => !s.closed).map(s => s.head.writer),
    };
  }

  private report(problem: string, line = this.line): void {
    this.faults.push({line, problem});
  }

  private verifyHeader(header: Partial<ExportHeader>): void {
    if (header.kind !== 'audit_export' || header.format !== 1) {
      this.report('not the header of an audit export');
    }
    this.from = header.from ?? 0;
    this.nextOffset = this.from;
  }

  private verifyTrailer(trailer: Partial<ExportTrailer>): void {
    this.ended = true;
    if (trailer.records !== this.records) {
      this.report('the number of records differs from the trailer');
    }
    if (trailer.digest !== this.digest) {
      this.report('the digest of the lines differs from the trailer');
    }
    const heads = [...this.writers.values()].map(state => state.head);
    if (!hasSameHeads(heads, trailer.heads ?? [])) {
      this.report('the last blocks of the chains differ from the trailer');
    }
  }

  private verifyRecord(record: Partial<AuditRecord>): void {
    this.records++;
    const {value: block} = record;
    const offset = this.nextOffset++;
    if (record.offset !== offset) this.report('offsets are not consecutive');
    if (block?.kind !== 'audit_block') return this.report('not an audit block');
    if (hashBlock(block) !== block.hash) {
      return this.report('the block was changed: its hash does not match');
    }
    this.hashByOffset.set(offset, block.hash);
    this.verifyChain(block, offset);
  }

  private verifyChain(block: AuditBlock, offset: number): void {
    const {writer, number, hash} = block;
    const blockName = `${writer}#${number}`;
    const earlierHash = this.hashByBlock.get(blockName);
    if (earlierHash !== undefined) {
      // A repeated append after a lost acknowledgement writes the block twice.
      if (earlierHash !== hash) this.report('two blocks with the same number');
      return;
    }
    this.hashByBlock.set(blockName, hash);
    const previousHead =
      this.writers.get(writer)?.head ?? this.findPreviousHead(block);
    if (number !== previousHead.number + 1) {
      this.report(`block ${previousHead.number + 1} of ${writer} is missing`);
    } else if (block.previous !== previousHead.hash) {
      this.report(`the chain of ${writer} is broken`);
    }
    if (this.writers.get(writer)?.closed) {
      this.report(`${writer} wrote a block after its chain was closed`);
    }
    this.recordBlock(block, offset);
  }

  private recordBlock(block: AuditBlock, offset: number): void {
    const {writer, number, hash} = block;
    this.blocks++;
    this.entries += block.entries.length;
    for (const entry of block.entries) {
      if (entry.kind === 'gap') this.dropped += entry.dropped;
    }
    for (const head of block.witnessed) {
      this.witnessed.push({line: this.line, head});
    }
    const closed = block.entries.at(-1)?.kind === 'closed';
    const head = {writer, number, hash, offset};
    this.writers.set(writer, {head, closed});
  }

  /**
   * Returns the head that precedes the first block of a writer in this export.
   */
  private findPreviousHead(block: AuditBlock): ChainHead {
    const {writer, number, previous} = block;
    if (number === 1) return {writer, number: 0, hash: ''};
    const anchor = this.anchors.find(
      head => head.writer === writer && head.number === number - 1,
    );
    if (anchor !== undefined) return anchor;
    this.unanchored.add(writer);
    return {writer, number: number - 1, hash: previous};
  }

  private checkWitnessed(): void {
    for (const {line, head} of this.witnessed) {
      this.checkHead(head, `a block at line ${line}`, line);
    }
  }

  private checkAnchors(): void {
    for (const head of this.anchors) this.checkHead(head, 'a stored head');
  }

  /** Compares a head from another source with the block at its offset. */
  private checkHead(head: LoggedHead, source: string, line?: number): void {
    const isCovered = head.offset >= this.from && head.offset < this.nextOffset;
    if (!isCovered) return;
    if (this.hashByOffset.get(head.offset) === head.hash) return;
    const name = `block ${head.number} of ${head.writer}`;
    this.report(`${name} is not at the offset that ${source} gives`, line);
  }
}

function parseLine(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    const isObject =
      typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

function hasSameHeads(
  a: readonly ChainHead[],
  b: readonly ChainHead[],
): boolean {
  const describeHeads = (heads: readonly ChainHead[]) =>
    heads
      .map(head => `${head.writer}#${head.number}#${head.hash}`)
      .sort()
      .join();
  return describeHeads(a) === describeHeads(b);
}

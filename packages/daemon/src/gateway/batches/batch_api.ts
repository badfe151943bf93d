/**
 * Serves the batch calls of callers. A submission is acknowledged once the log
 * has stored all of it, and reads are answered from the log as it is when the
 * call arrives.
 */

import {
  type IndexedBatch,
  isComplete,
  isStepReady,
} from '@radishyoke/core/batches/batch_index';
import {numberGroups} from '@radishyoke/core/batches/group_progress';
import {ResultPoll} from '@radishyoke/core/batches/result_poll';
import type {
  Batch,
  BatchHeader,
  IndexRecord,
} from '@radishyoke/core/batches/batch_record';
import {isOwner} from '@radishyoke/core/accounts/account_directory';
import type {Caller} from '@radishyoke/core/accounts/client_account';
import type {Route} from '@radishyoke/core/routing/route_table';
import {createError, type RadishyokeError} from '@radishyoke/shared/error_kind';
import {fail, type Result, succeed} from '@radishyoke/shared/result';
import type {MemoryBudget, MemoryHolder} from '@radishyoke/wire/memory_budget';
import {countAnswer, sendWhole} from '@radishyoke/wire/whole_answer';
import type http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {EventLogger} from '../../logger.js';
import {encodeBatch, encodeRecord} from './batch_codec.js';
import type {IndexReplica, IndexReplicas} from './index_replica.js';
import {INDEX_TOPIC} from './batch_topics.js';
import {PayloadLog, type StoreOutcome} from './payload_log.js';
import {answerError} from '../requests/caller_answer.js';
import type {CallerCall, CallerProtocol} from '../requests/caller_protocol.js';
import type {ConfigHolder} from '../store/config_holder.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import type {AppendOutcome, LogStore} from '../store/log_store.js';

export interface BatchApiDeps {
  readonly store: LogStore;
  readonly replicas: IndexReplicas;
  readonly protocol: CallerProtocol;
  readonly config: ConfigHolder;
  /** Whether reads are held for results that complete a step. */
  readonly isCapacityContended: boolean;
  readonly metrics: GatewayMetrics;
  readonly logger: EventLogger;
  /** What is held for all callers. */
  readonly memory: MemoryBudget;
}

/** Time for all attempts of one append, ms; a caller tries another VM after about as long. */
const APPEND_BUDGET_MS = 2500;
/** Pause between attempts of an append, ms. */
const APPEND_RETRY_MS = 60;
/** Maximum output in one result page, bytes. The encoded page must stay under 1 MB, and a line feed takes two bytes in it. */
const MAX_PAGE_BYTES = 300_000;
/** Delay before a caller should retry when the log is unreachable or this VM is overloaded, ms. */
const RETRY_AFTER_MS = 300;
/** Submissions that one VM decodes and stores at the same time. Each holds several copies of its body in memory. */
const MAX_SUBMISSIONS = 16;
/** Memory for decoding a submission, as a multiple of its body: the body and its text. */
const DECODED_FACTOR = 2;

/** A batch submission as received over HTTP. */
export interface BatchPost {
  readonly route: Route;
  /** Version of the configuration that `route` is from. */
  readonly configVersion: number;
  readonly caller: Caller;
  readonly host: string;
  readonly path: string;
  /** Returns the body, of which the caller of this keeps nothing. */
  takeBody(): Buffer;
}

/** Memory for one submission, which is in use until the submission has ended. */
class SubmissionMemory implements MemoryHolder {
  readonly progressMs = undefined;

  evict(): void {}
}

/** A submission that has been decoded: its payload as it is stored, and what is kept of it meanwhile. */
interface PreparedBatch {
  readonly header: BatchHeader;
  readonly itemIds: readonly string[];
  readonly groups: readonly string[];
  readonly payload: Uint8Array;
}

export class BatchApi {
  private submissions = 0;
  private readonly payloads: PayloadLog;

  constructor(private readonly deps: BatchApiDeps) {
    this.payloads = new PayloadLog(deps.store);
  }

  /** Stores a submitted batch and answers the caller. */
  async submit(
    post: BatchPost,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const {protocol} = this.deps;
    const {route} = post;
    const attemptId = protocol.readAttempt(req.headers).id;
    if (attemptId === undefined) {
      const error = createError('bad_request', 'the batch has no id');
      return this.finish(res, 'submit', undefined, route, error);
    }
    if (this.submissions >= MAX_SUBMISSIONS) {
      const error = createOverloaded('too many submissions at once');
      return this.finish(res, 'submit', attemptId, route, error);
    }
    this.submissions += 1;
    const work = new SubmissionMemory();
    try {
      const error = await this.store(post, attemptId, work);
      this.finish(res, 'submit', attemptId, route, error);
    } finally {
      this.submissions -= 1;
      this.deps.memory.release(work);
    }
  }

  /** Answers a call about an existing batch. A caller of another account gets `not_found`. */
  async answer(
    call: Exclude<CallerCall, {kind: 'request'}>,
    caller: Caller,
    res: http.ServerResponse,
  ): Promise<void> {
    const replica = this.deps.replicas.locate(call.batchId);
    const synced = await replica.sync();
    if (synced.kind === 'failed')
      return this.refuseRead(res, call, synced.error);
    const entry = replica.index.get(call.batchId);
    if (!entry || !isOwner(caller, entry.header.account)) {
      const isKeyless = entry && caller.kind === 'anonymous';
      const error = isKeyless
        ? createError('unauthorized')
        : createError('not_found', 'there is no such batch');
      return this.refuseRead(res, call, error);
    }
    switch (call.kind) {
      case 'read_results':
        return this.sendResults(call.after, call.waitMs, entry, replica, res);
      case 'read_body':
        return this.sendBody(call.itemId, entry, replica, res);
      case 'end_batch':
        return this.end(entry, replica, res);
    }
  }

  private async store(
    post: BatchPost,
    attemptId: string,
    work: SubmissionMemory,
  ): Promise<RadishyokeError | undefined> {
    const {replicas, logger} = this.deps;
    const {route, configVersion, caller} = post;
    const account = getAccountName(caller);
    const replica = replicas.locate(attemptId);
    const existing = replica.index.get(attemptId);
    if (existing && !isOwner(caller, existing.header.account)) {
      return createError('duplicate_request', 'the id is already in use');
    }
    if (existing) return undefined;
    const prepared = this.prepare(post, attemptId, work);
    if (!prepared.ok) return prepared.error;
    const accepted = await this.accept(replica, prepared.value);
    if (!accepted.ok) return accepted.error;
    const {header, itemIds} = prepared.value;
    logger.log('info', 'batch accepted', {
      requestId: attemptId,
      rule: route.name,
      configVersion,
      account,
      step: header.step,
      model: header.model,
      minVersion: header.minVersion,
      items: itemIds.length,
      partition: replica.partition,
      offset: accepted.value,
    });
    return undefined;
  }

  /** Decodes a submission. The body and the items are free again once the payload is encoded: all three would not fit a small VM. */
  private prepare(
    {route, configVersion, caller, host, path, takeBody}: BatchPost,
    attemptId: string,
    work: SubmissionMemory,
  ): Result<PreparedBatch> {
    const {protocol, memory} = this.deps;
    const body = takeBody();
    if (!memory.hold(work, body.length * DECODED_FACTOR)) {
      return fail(createOverloaded('too much is held for callers'));
    }
    const account = getAccountName(caller);
    const submission = {attemptId, host, path, account, atMs: Date.now()};
    const decoded = protocol.decodeBatch(body, submission);
    if (!decoded.ok) return decoded;
    const batch = {
      ...decoded.value,
      ...describeAcceptance(route, configVersion),
    };
    const {items, ...header} = batch;
    const payload = encodeBatch(batch);
    memory.hold(work, payload.length);
    return succeed({
      header,
      itemIds: items.map(({id}) => id),
      groups: items.map(({group}) => group),
      payload,
    });
  }

  /**
   * Stores the payload of the batch, then its index record, which accepts it.
   * A payload without an index record is never run, so the batch can safely be
   * refused until the append to the index is sent, even if it is unknown whether
   * the payload was stored. Returns the offset of the index record.
   */
  private async accept(
    replica: IndexReplica,
    {header, itemIds, groups, payload: bytes}: PreparedBatch,
  ): Promise<Result<number>> {
    const untilMs = performance.now() + APPEND_BUDGET_MS;
    const stored = await this.storePayload(replica, bytes, untilMs);
    if (stored.kind === 'failed') {
      return fail(createRefusal(stored.error.detail));
    }
    const [payload] = stored.refs;
    const groupNumbers = this.deps.isCapacityContended
      ? {groupNumbers: numberGroups(groups)}
      : {};
    const record = encodeRecord({
      kind: 'accepted',
      header,
      itemIds,
      ...groupNumbers,
      payload,
    });
    if (record.length > this.deps.store.maxRecordBytes) {
      const detail = `a batch of ${itemIds.length} items`;
      return fail(createError('too_large', detail));
    }
    const outcome = await this.appendIndex(replica, record, untilMs);
    switch (outcome.kind) {
      case 'appended':
        return succeed(outcome.offset);
      case 'unknown':
        return fail(createError('outcome_unknown', 'the log did not answer'));
      case 'refused':
        return fail(createRefusal(outcome.error.detail));
      case 'conflict':
        return fail(createRefusal('conflict'));
    }
  }

  private async storePayload(
    replica: IndexReplica,
    bytes: Uint8Array,
    untilMs: number,
  ): Promise<StoreOutcome> {
    for (;;) {
      const stored = await this.payloads.append(replica.partition, [bytes]);
      if (stored.kind === 'stored') return stored;
      if (performance.now() + APPEND_RETRY_MS > untilMs) return stored;
      await sleep(APPEND_RETRY_MS);
    }
  }

  /** Appends to the index, with retries. An attempt of unknown outcome can be repeated, since a duplicate record has no effect. */
  private async appendIndex(
    replica: IndexReplica,
    record: Uint8Array,
    untilMs = performance.now() + APPEND_BUDGET_MS,
  ): Promise<AppendOutcome> {
    const {store} = this.deps;
    let isUncertain = false;
    for (;;) {
      const outcome = await store.append(INDEX_TOPIC, replica.partition, [
        record,
      ]);
      if (outcome.kind === 'appended') return outcome;
      isUncertain ||= outcome.kind === 'unknown';
      if (performance.now() + APPEND_RETRY_MS > untilMs) {
        // If one attempt may have been stored, the outcome is unknown even if
        // all later attempts were refused.
        if (!isUncertain || outcome.kind === 'unknown') return outcome;
        const error = createError(
          'outcome_unknown',
          'an append may have been stored',
        );
        return {kind: 'unknown', error};
      }
      await sleep(APPEND_RETRY_MS);
    }
  }

  private async sendResults(
    after: number,
    waitMs: number,
    entry: IndexedBatch,
    replica: IndexReplica,
    res: http.ServerResponse,
  ): Promise<void> {
    const poll = this.startPoll(waitMs, entry);
    const abort = new AbortController();
    res.once('close', () => abort.abort());
    for (;;) {
      const available = {
        count: entry.results.length - after,
        isComplete: isComplete(entry),
        isStepReady: isStepReady(entry),
      };
      const remainingMs = poll.measureWaitMs(available, performance.now());
      if (remainingMs < 1 || res.destroyed) break;
      const outcome = await replica.waitForRecords(
        Math.floor(remainingMs),
        abort.signal,
      );
      if (outcome.kind === 'failed') break;
    }
    const results = await replica.readResults(entry, after, MAX_PAGE_BYTES);
    if (!results.ok) return this.sendError(res, results.error);
    const next = after + results.value.length;
    const total = entry.items.size;
    const page = {total, results: results.value, next};
    const body = this.deps.protocol.encodePage(page);
    this.send(res, 200, 'application/json', body);
  }

  private startPoll(waitMs: number, {header}: IndexedBatch): ResultPoll {
    const nowMs = performance.now();
    const route = this.deps.config.table?.match(header.host, header.path);
    const dueMs = route?.batch?.dueMs ?? 0;
    const elapsedMs = Date.now() - header.submittedAtMs;
    return new ResultPoll({
      waitUntilMs: nowMs + waitMs,
      dueAtMs: nowMs + dueMs - elapsedMs,
    });
  }

  private async sendBody(
    itemId: string,
    entry: IndexedBatch,
    replica: IndexReplica,
    res: http.ServerResponse,
  ): Promise<void> {
    if (!entry.items.has(itemId)) {
      const error = createError('not_found', 'there is no such item');
      return this.sendError(res, error);
    }
    const batch = await replica.readSubmission(entry);
    if (!batch.ok) return this.sendError(res, batch.error);
    const item = batch.value.items.find(({id}) => id === itemId)!;
    this.send(res, 200, 'application/octet-stream', item.body);
  }

  private async end(
    entry: IndexedBatch,
    replica: IndexReplica,
    res: http.ServerResponse,
  ): Promise<void> {
    const {id: batchId} = entry.header;
    const record: IndexRecord = {kind: 'ended', batchId};
    if (!entry.isEnded) {
      const outcome = await this.appendIndex(replica, encodeRecord(record));
      if (outcome.kind !== 'appended') {
        // The caller may retry, since ending is idempotent, but must not assume
        // that the batch was not ended.
        const error = createError('outcome_unknown', 'the log did not answer');
        return this.finish(res, 'end', batchId, undefined, error);
      }
    }
    this.finish(res, 'end', batchId, undefined, undefined);
  }

  private finish(
    res: http.ServerResponse,
    action: 'submit' | 'end',
    requestId: string | undefined,
    route: Route | undefined,
    error: RadishyokeError | undefined,
  ): void {
    const {metrics, logger} = this.deps;
    metrics.count(`batch_${action}_${error?.kind ?? 'ok'}`);
    if (error) {
      logger.log('warn', `batch ${action} failed`, {
        requestId,
        rule: route?.name,
        outcome: error.kind,
        detail: error.detail,
      });
      this.sendError(res, error);
      return;
    }
    if (action === 'end') logger.log('info', 'batch end', {requestId});
    this.send(
      res,
      action === 'submit' ? 202 : 200,
      undefined,
      new Uint8Array(),
    );
  }

  private refuseRead(
    res: http.ServerResponse,
    call: Exclude<CallerCall, {kind: 'request'}>,
    error: RadishyokeError,
  ): void {
    this.deps.logger.log('warn', 'batch call refused', {
      requestId: call.batchId,
      call: call.kind,
      outcome: error.kind,
      detail: error.detail,
    });
    this.sendError(res, error);
  }

  private sendError(res: http.ServerResponse, error: RadishyokeError): void {
    answerError(res, this.deps.protocol, error);
  }

  private send(
    res: http.ServerResponse,
    status: number,
    contentType: string | undefined,
    body: Uint8Array,
  ): void {
    if (res.destroyed) return;
    if (!countAnswer(res, body.length, this.deps.memory)) return;
    const type = contentType ? {'Content-Type': contentType} : {};
    sendWhole(res, status, type, body);
  }
}

function getAccountName(caller: Caller): string | undefined {
  return caller.kind === 'account' ? caller.name : undefined;
}

/** Describes what `route` promises to a batch that it accepts. */
function describeAcceptance(
  {batch}: Route,
  configVersion: number,
): Pick<Batch, 'acceptedUnder'> {
  if (!batch) return {};
  const {retentionMs} = batch;
  return {acceptedUnder: {configVersion, retentionMs}};
}

function createOverloaded(detail: string): RadishyokeError {
  return createError('overloaded', detail, {retryAfterMs: RETRY_AFTER_MS});
}

/** Creates the error for a batch that was not stored and never will be. */
function createRefusal(detail: string): RadishyokeError {
  return createError('log_unavailable', detail, {
    retryAfterMs: RETRY_AFTER_MS,
  });
}

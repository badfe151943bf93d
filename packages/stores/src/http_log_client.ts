/** HTTP client of the platform's log; docs/PROTOCOLS.md describes the protocol. */

import {createError} from '@radishyoke/shared/error_kind';
import type {LoggedRecord, StreamName} from '@radishyoke/shared/log_record';
import {fail, Result, succeed} from '@radishyoke/shared/result';
import {z} from 'zod';
import type {CallOptions} from './call_options.js';
import {JsonAnswer, JsonHttpClient} from './http_json.js';
import {AppendResult, LogClient, LogQuery, LogRead} from './log_client.js';

const offsetSchema = z.number().int().min(0);

const appendAnswerSchema = z.object({first: offsetSchema, next: offsetSchema});

const expiredAnswerSchema = z.object({oldest: offsetSchema});

const readAnswerSchema = z.object({
  oldest: offsetSchema,
  next: offsetSchema,
  records: z.array(
    z.object({offset: offsetSchema, timeMs: z.number(), value: z.unknown()}),
  ),
});

type Answered = Extract<JsonAnswer, {kind: 'answered'}>;

export class HttpLogClient extends LogClient {
  private readonly http: JsonHttpClient;

  /** `address` is `ip:port`. */
  constructor(address: string) {
    super();
    this.http = new JsonHttpClient(address);
  }

  async read(
    stream: StreamName,
    query: LogQuery,
    options: CallOptions,
  ): Promise<Result<LogRead>> {
    const {from, max, waitMs} = query;
    const search = `from=${from}&max=${max}&waitMs=${waitMs}`;
    const answer = await this.http.call(
      {method: 'GET', path: `/streams/${stream}/records?${search}`, waitMs},
      options,
    );
    if (answer.kind === 'failed')
      return fail(createError('log_unavailable', answer.detail));
    return decodeReadAnswer(answer, from);
  }

  async append(
    stream: StreamName,
    values: readonly unknown[],
    options: CallOptions,
  ): Promise<AppendResult> {
    const answer = await this.http.call(
      {
        method: 'POST',
        path: `/streams/${stream}/records`,
        body: {records: values},
      },
      options,
    );
    if (answer.kind === 'answered')
      return decodeAppendAnswer(answer, values.length);
    const error = createError('log_unavailable', answer.detail);
    return {kind: answer.sent ? 'unknown' : 'refused', error};
  }

  close(): Promise<void> {
    return this.http.close();
  }
}

/** Decodes the response to a read from offset `from`. */
export function decodeReadAnswer(
  answer: Answered,
  from: number,
): Result<LogRead> {
  if (answer.status === 410) {
    const expired = expiredAnswerSchema.safeParse(answer.body);
    if (expired.success)
      return succeed({kind: 'expired', oldest: expired.data.oldest});
  }
  if (answer.status !== 200) return fail(createStatusError(answer));
  const page = readAnswerSchema.safeParse(answer.body);
  if (!page.success || !isContiguous(page.data.records, from, page.data.next))
    return fail(
      createError(
        'log_unavailable',
        'the log sent an invalid response to a read',
      ),
    );
  const {oldest, next} = page.data;
  const records = page.data.records as ReadonlyArray<LoggedRecord<unknown>>;
  return succeed({kind: 'page', oldest, next, records});
}

// A reader that skips or repeats a record folds a different state than its peers, which
// can cause two owners or a duplicate rollout. A page with a gap is refused completely,
// so that a reader has always folded a prefix of the stream.
function isContiguous(
  records: ReadonlyArray<{readonly offset: number}>,
  from: number,
  next: number,
): boolean {
  return (
    records.every((record, i) => record.offset === from + i) &&
    next === from + records.length
  );
}

/** Decodes the response to an append of `count` records. */
export function decodeAppendAnswer(
  answer: Answered,
  count: number,
): AppendResult {
  const {status} = answer;
  if (status === 200) {
    const body = appendAnswerSchema.safeParse(answer.body);
    if (body.success && body.data.next - body.data.first === count)
      return {kind: 'appended', first: body.data.first, next: body.data.next};
    const detail = 'the log accepted the append with an invalid response';
    return {kind: 'unknown', error: createError('log_unavailable', detail)};
  }
  const error = createStatusError(answer);
  // The log guarantees that nothing was appended after 4xx and 503. Any other 5xx may
  // come from an intermediary after the log has accepted the records.
  const isRefused = (status >= 400 && status < 500) || status === 503;
  return {kind: isRefused ? 'refused' : 'unknown', error};
}

function createStatusError(answer: Answered) {
  return createError('log_unavailable', `the log answered ${answer.status}`, {
    retryAfterMs: answer.retryAfterMs,
  });
}

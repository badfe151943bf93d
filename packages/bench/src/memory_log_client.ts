/** Log client without a network, for experiments and tests on a fake clock. */

import type {LogModel} from '@radishyoke/fakes/log_model';
import {
  type AppendResult,
  LogClient,
  type LogQuery,
  type LogRead,
} from '@radishyoke/stores/log_client';
import {createError} from '@radishyoke/shared/error_kind';
import type {StreamName} from '@radishyoke/shared/log_record';
import {fail, type Result, succeed} from '@radishyoke/shared/result';

/** Interval at which a waiting read checks for new records. */
const POLL_MS = 20;
/** One-way latency between a VM and the log. */
const ONE_WAY_MS = 1;

/** Appends to and reads from a log model directly, with a fixed simulated latency. */
export class MemoryLogClient extends LogClient {
  /** While true, every call fails without effect. */
  isDown = false;

  constructor(private readonly model: LogModel) {
    super();
  }

  override async append(
    stream: StreamName,
    values: readonly unknown[],
  ): Promise<AppendResult> {
    await sleep(ONE_WAY_MS);
    if (this.isDown) return {kind: 'refused', error: describeOutage()};
    const answer = this.model.append(stream, values, Date.now());
    await sleep(ONE_WAY_MS);
    if (answer.kind === 'appended') return answer;
    const {retryAfterMs} = answer;
    const error = createError('log_unavailable', 'limited', {retryAfterMs});
    return {kind: 'refused', error};
  }

  override async read(
    stream: StreamName,
    {from, max, waitMs}: LogQuery,
  ): Promise<Result<LogRead>> {
    const untilMs = Date.now() + waitMs;
    for (;;) {
      await sleep(ONE_WAY_MS);
      if (this.isDown) return fail(describeOutage());
      const answer = this.model.read(stream, from, max, Date.now());
      if (answer.kind === 'expired') return succeed(answer);
      if (answer.records.length > 0 || Date.now() >= untilMs) {
        await sleep(ONE_WAY_MS);
        return succeed({...answer, kind: 'page'});
      }
      await sleep(POLL_MS);
    }
  }

  override async close(): Promise<void> {}
}

function describeOutage() {
  return createError('log_unavailable', 'the log is down');
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

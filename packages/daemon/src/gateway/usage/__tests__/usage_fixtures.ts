/** Fakes of the platform's API and the lease for tests of usage reports. */

import type {UsageReport} from '@radishyoke/core/usage/usage_record';
import {silentLogger} from '../../../logger.js';
import {GatewayMetrics} from '../../gateway_metrics.js';
import type {LogStore} from '../../store/log_store.js';
import {
  type ControlAnswer,
  ControlApi,
  type CallCredentials,
} from '../../control/control_api.js';
import {COUNT_TOPIC, encodeUsage} from '../usage_codec.js';
import {UsageTask} from '../usage_task.js';

export const WINDOW_MS = 5000;
export const DUE_MS = 10_000;

/** A call as the API received it. */
export interface UsageCall {
  readonly report: UsageReport;
  readonly credentials: CallCredentials;
}

/** Fake of the platform's API that gives the planned answers first and then accepts everything. */
export class FakeControlApi extends ControlApi {
  readonly calls: UsageCall[] = [];
  readonly plannedAnswers: ControlAnswer[] = [];
  /** One line for each window that was reported with different counts. */
  readonly problems: string[] = [];
  private readonly accepted = new Map<number, string>();

  async reportUsage(
    report: UsageReport,
    credentials: CallCredentials,
  ): Promise<ControlAnswer> {
    this.calls.push({report, credentials});
    const answer = this.plannedAnswers.shift() ?? 'accepted';
    // A report without an answer may have been accepted.
    if (answer === 'accepted' || answer === 'unknown') this.accept(report);
    return answer;
  }

  get windows(): readonly number[] {
    return [...this.accepted.keys()];
  }

  close(): void {}

  private accept({window, counts}: UsageReport): void {
    const text = JSON.stringify(Object.entries(counts).sort());
    const firstText = this.accepted.get(window) ?? text;
    if (firstText !== text)
      this.problems.push(`${window}: ${firstText}, then ${text}`);
    this.accepted.set(window, firstText);
  }
}

/** A clock set by the test, in Unix ms. */
export interface FakeTime {
  nowMs: number;
}

export interface HolderOptions {
  readonly vmName?: string;
  readonly fencingToken?: number;
  readonly mayCall?: () => boolean;
}

/** Creates the usage task of one lease holder. */
export function createTask(
  store: LogStore,
  api: ControlApi,
  time: FakeTime,
  {vmName = 'vm-a', fencingToken = 1, mayCall = () => true}: HolderOptions = {},
): UsageTask {
  return new UsageTask({
    store,
    api,
    lease: {fencingToken, announce: async () => mayCall()},
    vmName,
    terms: {windowMs: WINDOW_MS, dueMs: DUE_MS},
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    now: () => time.nowMs,
  });
}

/** Appends a usage entry as the VM `writer` would. */
export async function writeCount(
  store: LogStore,
  writer: string,
  number: number,
  window: number,
  requests: number,
): Promise<void> {
  const counts = [{window, account: 'alpha', requests}];
  const partition = writer.length % store.partitions;
  await store.append(COUNT_TOPIC, partition, [
    encodeUsage({writer, number, counts}),
  ]);
}

/** Builders of log records for tests. */

import {
  toEndpointId,
  toIncarnationId,
  toStepId,
  toTeamId,
  toTenantId,
  toVmId,
} from '@radishyoke/shared/ids';
import type {
  LoggedRecord,
  PublishedConfig,
  SampleCommit,
  Stamp,
  StateRecord,
} from '@radishyoke/shared/log_record';

export const TENANT = toTenantId('tutor');
export const STEP = toStepId('s1');
export const TEAM = toTeamId('kodkutu');

/** The fields of a record without the stamp that its writer adds. */
export type Unstamped<T> = T extends unknown ? Omit<T, 'stamp'> : never;
export type StateBody = Unstamped<StateRecord>;

/** Creates the stamp of record `seq` of the writer on `vm`. */
export function createStamp(vm: string, seq: number): Stamp {
  return {vm: toVmId(vm), incarnation: toIncarnationId('i1'), seq};
}

/** Builds a stream: assigns offsets, and sequence numbers per writer. */
export class RecordFixture<T extends {readonly stamp: Stamp}> {
  readonly records: Array<LoggedRecord<T>> = [];
  private readonly seqs = new Map<string, number>();

  add(vm: string, body: Unstamped<T>, timeMs: number): LoggedRecord<T> {
    const seq = (this.seqs.get(vm) ?? 0) + 1;
    this.seqs.set(vm, seq);
    const value = {...body, stamp: createStamp(vm, seq)} as unknown as T;
    return this.append(value, timeMs);
  }

  append(value: T, timeMs: number): LoggedRecord<T> {
    const record = {offset: this.records.length, timeMs, value};
    this.records.push(record);
    return record;
  }
}

/** Creates a record that opens a step with one group of `samples` samples. */
export function openStep(samples: number, step = STEP): StateBody {
  return {
    kind: 'step_opened',
    tenant: TENANT,
    step,
    digest: 'd',
    req: {
      model: 'm',
      weightVersion: 1,
      maxStaleness: 2,
      timeoutMs: 60_000,
      groups: [{prompt: 'p', samples, maxTokens: 16}],
    },
    rule: 'all',
    configVersion: 0,
  };
}

export function commitSample(sample: number, attempt = 1): SampleCommit {
  return {
    group: 0,
    sample,
    attempt,
    endpoint: toEndpointId('e1'),
    spans: [{weightVersion: 1, tokens: 4}],
    digest: `text of attempt ${attempt}`,
  };
}

/** Creates a record that publishes `text` on top of version `basedOn`. */
export function publishConfig(
  basedOn: number,
  text: string,
): Unstamped<PublishedConfig> {
  return {kind: 'config_published', team: TEAM, basedOn, author: 'op', text};
}

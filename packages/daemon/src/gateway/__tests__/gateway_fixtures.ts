/** Stand-ins for what the gateway's tasks talk to. */

import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import net from 'node:net';
import type {
  BatchItem,
  RewardRequest,
} from '@radishyoke/core/batches/batch_record';
import {CrashRegistry} from '@radishyoke/core/crashes/crash_registry';
import type {EndpointEntry} from '@radishyoke/core/fleet/endpoint_entry';
import {createError} from '@radishyoke/shared/error_kind';
import {fail, type Result} from '@radishyoke/shared/result';
import {silentLogger} from '../../logger.js';
import {CrashWatch} from '../crashes/crash_watch.js';
import type {ProbeTarget} from '../crashes/endpoint_probe.js';
import {GatewayMetrics} from '../gateway_metrics.js';
import {
  type AnswerFacts,
  type EndpointCall,
  EndpointProtocol,
  type EngineReport,
  type ForwardTerms,
  type GenerationTerms,
  type OrderAnswer,
} from '../endpoints/endpoint_protocol.js';
import {
  type AppendOptions,
  type AppendOutcome,
  type KeyedReadOutcome,
  type KeyedRecord,
  LogStore,
  type NewKeyedRecord,
  type ReadOptions,
  type ReadOutcome,
  type StoredRecord,
} from '../store/log_store.js';

/** A protocol with the shortest names. */
export class PlainProtocol extends EndpointProtocol {
  readonly versionField = 'version';

  forwardHeaders(
    received: IncomingHttpHeaders,
    terms: ForwardTerms,
  ): OutgoingHttpHeaders {
    const {endpointId, lastEventId} = terms;
    const resume = lastEventId === undefined ? {} : {'last-id': lastEventId};
    return {...received, ...resume, 'for-endpoint': endpointId};
  }

  generationHeaders(
    item: BatchItem,
    terms: GenerationTerms,
  ): OutgoingHttpHeaders {
    const {lastEventId} = terms;
    const resume = lastEventId === undefined ? {} : {'last-id': lastEventId};
    return {id: item.id, ...resume};
  }

  rewardHeaders(
    reward: RewardRequest,
    terms: ForwardTerms,
  ): OutgoingHttpHeaders {
    return {id: reward.id, 'for-endpoint': terms.endpointId};
  }

  readAnswer(headers: IncomingHttpHeaders): AnswerFacts {
    const version = headers['version'];
    return {
      attemptId: headers['id'] as string | undefined,
      stamp: headers['stamp'] as string | undefined,
      isNotExecuted: headers['not-run'] !== undefined,
      weightVersion: version === undefined ? undefined : Number(version),
      load: undefined,
    };
  }

  reportCall(): EndpointCall {
    return {method: 'GET', path: '/report', headers: {}};
  }

  decodeReport(): Result<EngineReport> {
    return fail(createError('bad_request'));
  }

  orderCall(): EndpointCall {
    return {method: 'POST', path: '/order', headers: {}};
  }

  judgeOrder(): OrderAnswer {
    return 'refused';
  }
}

/** A watch that tells nobody; its endpoints are there unless `isThere` says otherwise. */
export function createCrashWatch(
  isReachable: (target: ProbeTarget) => boolean = () => true,
  book = new CrashRegistry(0),
): CrashWatch {
  return new CrashWatch({
    book,
    news: {tell: () => undefined},
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    probe: async target => isReachable(target),
  });
}

/** A server that answers each connection's first bytes with fixed text. */
export interface RawServer {
  readonly entry: EndpointEntry;
  close(): Promise<void>;
}

/** How a raw server leaves a connection after its text. */
export type ConnectionEnding = 'keep' | 'end' | 'reset';

/** Starts a server that answers every request with `text`, whatever was asked. */
export async function startRawServer(
  text: string,
  ending: ConnectionEnding,
): Promise<RawServer> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(text, () => {
        if (ending === 'end') socket.end();
        // What was sent must arrive before the reset does.
        if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const {port} = server.address() as net.AddressInfo;
  return {
    entry: createEntry(port),
    close: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
}

export function createEntry(port: number): EndpointEntry {
  return {
    id: 'e1',
    service: 'app',
    host: '127.0.0.1',
    port,
    dataCentre: 'dc',
    slots: 4,
    isDraining: false,
    models: [],
    startedAtMs: 0,
    sequence: 0,
  };
}

/** How an append of a memory store ends. */
export type AppendPlan =
  'appended' | 'refused' | 'unknown' | 'unknown_but_done';

/** A keyed topic that never has records. */
export const EMPTY_TOPIC = 'quiet';

/** A log in memory whose next appends can be told how to end. */
export class MemoryStore extends LogStore {
  readonly partitions = 2;
  readonly maxRecordBytes = 4096;
  readonly maxAppendBytes = 16_384;
  private readonly recordsByPartition = new Map<string, Uint8Array[]>();
  /** Outcomes of the next appends; a plan that is used up appends. */
  readonly appendPlans: AppendPlan[] = [];
  /** Answers of the next reads of the newest records; the last one stays. */
  readonly newestReads: KeyedReadOutcome[] = [];
  /** Answers of the next reads of a keyed topic; then nothing comes. */
  readonly keyedReads: KeyedReadOutcome[] = [];
  appends = 0;
  readonly trims: string[] = [];
  /** Bytes that reads returned. */
  readBytes = 0;

  /** Records of one partition, for tests to look at and to fill. */
  open(topic: string, partition: number): Uint8Array[] {
    const key = `${topic}/${partition}`;
    const records = this.recordsByPartition.get(key) ?? [];
    this.recordsByPartition.set(key, records);
    return records;
  }

  /** All records of a topic. */
  list(topic: string): readonly Uint8Array[] {
    return Array.from({length: this.partitions}, (_, i) =>
      this.open(topic, i),
    ).flat();
  }

  async append(
    topic: string,
    partition: number,
    records: readonly Uint8Array[],
    {at}: AppendOptions = {},
  ): Promise<AppendOutcome> {
    this.appends += 1;
    const plan = this.appendPlans.shift();
    const error = createError('log_unavailable');
    if (plan === 'refused') return {kind: 'refused', error};
    if (plan === 'unknown') return {kind: 'unknown', error};
    const stored = this.open(topic, partition);
    const offset = stored.length;
    if (at !== undefined && at !== offset) {
      return {kind: 'conflict', endOffset: offset};
    }
    stored.push(...records);
    if (plan === 'unknown_but_done') return {kind: 'unknown', error};
    return {kind: 'appended', offset};
  }

  /** Keyed records that were written, with the outcomes that are planned. */
  readonly keyedWrites: NewKeyedRecord[] = [];

  async appendKeyed(
    topic: string,
    records: readonly NewKeyedRecord[],
  ): Promise<AppendOutcome> {
    const bytes = records.map(({key}) => Buffer.from(key));
    const outcome = await this.append(topic, 0, bytes);
    if (outcome.kind === 'appended') this.keyedWrites.push(...records);
    return outcome;
  }

  async read(
    topic: string,
    partition: number,
    from: number,
    {maxBytes = Infinity}: ReadOptions,
  ): Promise<ReadOutcome> {
    const stored = this.open(topic, partition);
    const records: StoredRecord[] = [];
    let bytes = 0;
    for (const [i, record] of stored.slice(from).entries()) {
      if (i > 0 && bytes + record.length > maxBytes) break;
      bytes += record.length;
      records.push({offset: from + i, bytes: record});
    }
    this.readBytes += bytes;
    return {kind: 'page', records, endOffset: stored.length, firstOffset: 0};
  }

  async readKeyed(
    topic: string,
    _from: number,
    options: ReadOptions,
  ): Promise<KeyedReadOutcome> {
    const next = topic === EMPTY_TOPIC ? undefined : this.keyedReads.shift();
    if (next) return next;
    return new Promise(resolve => {
      options.signal?.addEventListener('abort', () =>
        resolve({kind: 'failed', error: createError('cancelled')}),
      );
    });
  }

  async readNewest(topic: string): Promise<KeyedReadOutcome> {
    if (topic === EMPTY_TOPIC) return {kind: 'page', records: [], endOffset: 0};
    const next =
      this.newestReads.length > 1
        ? this.newestReads.shift()
        : this.newestReads[0];
    return next ?? {kind: 'page', records: [], endOffset: 0};
  }

  async trim(
    topic: string,
    partition: number,
    offset: number,
  ): Promise<boolean> {
    this.trims.push(`${topic}/${partition} before ${offset}`);
    return true;
  }

  close(): void {}
}

/** A keyed record with a short value; without one the key is removed. */
export function createKeyed(
  key: string,
  offset: number,
  value?: string,
): KeyedRecord {
  return {
    key,
    offset,
    value: value === undefined ? undefined : Buffer.from(value),
  };
}

/** Fakes of the log, endpoints and protocols that the gateway's tasks use. */

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
  type AnswerMetadata,
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

/** An endpoint protocol with short header names, whose engines send no reports and refuse all orders. */
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

  readAnswer(headers: IncomingHttpHeaders): AnswerMetadata {
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

  decodeOrderAnswer(): OrderAnswer {
    return 'refused';
  }
}

/** Creates a crash watch that publishes nothing and whose probes succeed unless `isReachable` returns false. */
export function createCrashWatch(
  isReachable: (target: ProbeTarget) => boolean = () => true,
  registry = new CrashRegistry(0),
): CrashWatch {
  return new CrashWatch({
    registry,
    publisher: {publish: () => undefined},
    metrics: new GatewayMetrics(),
    logger: silentLogger,
    probe: async target => isReachable(target),
  });
}

/** A server that answers all data with a fixed text. */
export interface RawServer {
  readonly entry: EndpointEntry;
  close(): Promise<void>;
}

/** What a raw server does with a connection after sending its text. */
export type ConnectionEnding =
  | 'keep'
  | 'end'
  | 'reset'
  /** The reset arrives together with the text. */
  | 'reset_at_once';

/** Starts a server that answers every request with `text`. */
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
        // The delay lets the text arrive before the reset.
        if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 20);
      });
      if (ending === 'reset_at_once') socket.resetAndDestroy();
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

/** The planned outcome of an append to a memory store. */
export type AppendPlan =
  'appended' | 'refused' | 'unknown' | 'unknown_but_done';

/** A keyed topic that never has records. */
export const EMPTY_TOPIC = 'quiet';

/** An in-memory log for which the outcomes of appends can be planned. */
export class MemoryStore extends LogStore {
  readonly partitions = 2;
  readonly maxRecordBytes = 4096;
  readonly maxAppendBytes = 16_384;
  private readonly recordsByPartition = new Map<string, Uint8Array[]>();
  /** Outcomes of the next appends; later ones succeed. */
  readonly appendPlans: AppendPlan[] = [];
  /** Outcomes of the next reads of the newest records; the last one is repeated. */
  readonly newestReads: KeyedReadOutcome[] = [];
  /** Outcomes of the next reads of a keyed topic; later reads get no answer until they are aborted. */
  readonly keyedReads: KeyedReadOutcome[] = [];
  appends = 0;
  readonly trims: string[] = [];
  /** Total bytes returned by reads. */
  readBytes = 0;

  /** Returns the records of one partition, which tests may change. */
  open(topic: string, partition: number): Uint8Array[] {
    const key = `${topic}/${partition}`;
    const records = this.recordsByPartition.get(key) ?? [];
    this.recordsByPartition.set(key, records);
    return records;
  }

  /** Lists the records of a topic over all partitions. */
  list(topic: string): readonly Uint8Array[] {
    return Array.from({length: this.partitions}, (_, i) =>
      this.open(topic, i),
    ).flat();
  }

  async append(
    topic: string,
    partition: number,
    records: readonly Uint8Array[],
    {expectedEndOffset}: AppendOptions = {},
  ): Promise<AppendOutcome> {
    this.appends += 1;
    const plan = this.appendPlans.shift();
    const error = createError('log_unavailable');
    if (plan === 'refused') return {kind: 'refused', error};
    if (plan === 'unknown') return {kind: 'unknown', error};
    const stored = this.open(topic, partition);
    const offset = stored.length;
    if (expectedEndOffset !== undefined && expectedEndOffset !== offset) {
      return {kind: 'conflict', endOffset: offset};
    }
    stored.push(...records);
    if (plan === 'unknown_but_done') return {kind: 'unknown', error};
    return {kind: 'appended', offset};
  }

  /** Keyed records whose append succeeded. */
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

/** Creates a keyed record; without a value it removes the key. */
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

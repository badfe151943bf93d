/** The connections to which an engine sends its streams as server-sent events. */

import type http from 'node:http';
import type {EngineEvent, EngineRequest} from './engine_event.js';
import type {EngineModel} from './engine_model.js';
import {createNotFound} from './http_server.js';
import {writeTokens} from './token_text.js';

type Chunk = Extract<EngineEvent, {kind: 'chunk'}>;

/** A reader with more unsent bytes than this is disconnected. */
const MAX_UNREAD_BYTES = 1024 * 1024;
const DONE = 'data: [DONE]\n\n';

interface StreamReaders {
  readonly seed: number;
  readonly responses: Set<http.ServerResponse>;
}

export class EngineReaders {
  private readonly streams = new Map<string, StreamReaders>();

  constructor(private readonly model: EngineModel) {}

  /** Adds the reader that submitted the request; the model has counted it already. */
  add(
    req: EngineRequest,
    weightVersion: number,
    res: http.ServerResponse,
  ): void {
    startEvents(res, weightVersion);
    this.addReader(req.id, req.seed, res);
  }

  /**
   * Sends the tokens of stream `id` from its token `from` on, then those that
   * follow. All events of the model until `nowMs` must have been sent before.
   */
  resume(
    id: string,
    from: number,
    res: http.ServerResponse,
    nowMs: number,
  ): void {
    const stream = this.model.findStream(id, nowMs);
    if (!stream) throw createNotFound();
    const {seed, resumeTokens} = stream.req;
    const firstSpan = stream.run.spans[0];
    const version = firstSpan?.weightVersion ?? this.readVersion(nowMs);
    const isLive = stream.state !== 'finished';
    if (isLive) this.model.attach(id, nowMs);
    startEvents(res, version);
    let position = 0;
    for (const span of stream.run.spans) {
      const skipped = Math.min(span.tokens, Math.max(0, from - position));
      const first = resumeTokens + position + skipped;
      const tokens = span.tokens - skipped;
      position += span.tokens;
      if (tokens > 0)
        writeChunk(res, id, seed, first, tokens, span.weightVersion, null);
    }
    if (isLive) return this.addReader(id, seed, res);
    const last = stream.run.spans[stream.run.spans.length - 1];
    const end = stream.outputTokens;
    const endVersion = last?.weightVersion ?? version;
    writeChunk(res, id, seed, end, 0, endVersion, stream.finishReason);
    res.end(DONE);
  }

  /** Stops a request and disconnects its readers. */
  cancel(id: string): void {
    this.model.cancel(id, Date.now());
    const readers = this.streams.get(id);
    this.streams.delete(id);
    for (const res of readers?.responses ?? []) res.destroy();
  }

  send(chunk: Chunk): void {
    const readers = this.streams.get(chunk.id);
    if (!readers) return;
    const {id, firstToken, tokens, weightVersion, finishReason} = chunk;
    const {seed} = readers;
    for (const res of readers.responses) {
      writeChunk(
        res,
        id,
        seed,
        firstToken,
        tokens,
        weightVersion,
        finishReason,
      );
      if (finishReason !== null) res.end(DONE);
      else if (res.writableLength > MAX_UNREAD_BYTES) res.destroy();
    }
    if (finishReason !== null) this.streams.delete(id);
  }

  /** Removes all readers, whose connections are already closed. */
  clear(): void {
    this.streams.clear();
  }

  private addReader(id: string, seed: number, res: http.ServerResponse): void {
    const readers = this.streams.get(id) ?? {seed, responses: new Set()};
    this.streams.set(id, readers);
    readers.responses.add(res);
    res.once('close', () => this.removeReader(id, readers, res));
  }

  private removeReader(
    id: string,
    readers: StreamReaders,
    res: http.ServerResponse,
  ): void {
    readers.responses.delete(res);
    this.model.detach(id, Date.now());
    if (readers.responses.size === 0 && this.streams.get(id) === readers)
      this.streams.delete(id);
  }

  private readVersion(nowMs: number): number {
    return this.model.describeOrders(nowMs).weightVersion;
  }
}

function startEvents(res: http.ServerResponse, weightVersion: number): void {
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-weight-version': String(weightVersion),
  });
  res.flushHeaders();
}

function writeChunk(
  res: http.ServerResponse,
  id: string,
  seed: number,
  firstToken: number,
  tokens: number,
  weightVersion: number,
  finishReason: string | null,
): void {
  const text = writeTokens(seed, firstToken, tokens, weightVersion);
  const choice = {index: 0, text, finish_reason: finishReason};
  const body = {id, choices: [choice], tokens, weight_version: weightVersion};
  res.write(`data: ${JSON.stringify(body)}\n\n`);
}

/**
 * One generation on a model engine, received as a stream of chunks. A connection
 * that breaks or goes silent is replaced by a new one that resumes after the last
 * received token, so a half-open connection loses no generated tokens.
 */

import type {Readable} from 'node:stream';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {FailureKind} from '@radishyoke/core/scheduling/failure';
import {isNotConnected, isResponseTimeout} from './connection_error.js';
import {renewConnections} from './renewing_agent.js';

/** Parameters of a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly seed: number;
  /** Output of an earlier attempt that the generation continues. */
  readonly resume?: {readonly text: string; readonly tokens: number};
}

/** Tokens that were received together. */
export interface GenerationChunk {
  readonly text: string;
  readonly tokens: number;
  readonly weightVersion: number;
}

export type GenerationEnd =
  | {readonly kind: 'finished'; readonly finishReason: string}
  | {
      readonly kind: 'failed';
      readonly failure: FailureKind;
      readonly sent: boolean;
    }
  | {readonly kind: 'stopped'};

export interface GenerationTimeouts {
  /** Maximum time without data before the connection is replaced, ms. */
  readonly progressMs: number;
  /** Maximum number of new connections that attach to one generation. */
  readonly maxReattaches: number;
}

export const DEFAULT_GENERATION_TIMEOUTS: GenerationTimeouts = {
  progressMs: 3000,
  maxReattaches: 3,
};

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        text: z.string(),
        finish_reason: z.string().nullable(),
      }),
    )
    .min(1),
  tokens: z.number().int().min(0),
  weight_version: z.number().int().min(0),
});

/** How one connection ended; after `broken` and `silent` a new one may attach. */
type ConnectionEnd =
  | {readonly kind: 'finished'; readonly finishReason: string}
  | {readonly kind: 'broken' | 'silent' | 'refused' | 'unknown_stream'}
  | {readonly kind: 'status'; readonly status: number};

const endMarker = '[DONE]';
/** Longest chunk accepted, characters. A longer one ends the connection, since the engine sends no chunks. */
const maxChunkChars = 256 * 1024;

export class EngineStream {
  private readonly abort = new AbortController();
  private tokens = 0;
  private stopped = false;
  /** Whether this instance started the generation rather than attached to it. */
  private isStartedHere = false;

  /**
   * @param dispatcher Connection pool; opens new connections on demand.
   * @param origin `http://ip:port` of the engine.
   */
  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly origin: string,
    private readonly req: GenerationRequest,
    private readonly onChunk: (chunk: GenerationChunk) => void,
    private readonly timeouts: GenerationTimeouts = DEFAULT_GENERATION_TIMEOUTS,
  ) {}

  /** Starts the generation and resolves when it has ended; never rejects. */
  async run(): Promise<GenerationEnd> {
    this.isStartedHere = true;
    return this.follow(await this.connect('POST', '/v1/completions'));
  }

  /**
   * Attaches to a generation that an earlier owner started, and reads it from its
   * first token.
   */
  async attach(): Promise<GenerationEnd> {
    return this.follow(await this.connect('GET', this.streamPath(0)));
  }

  /**
   * Stops reading; the engine continues the generation for the next reader that
   * attaches.
   */
  detach(): void {
    this.stopped = true;
    this.abort.abort();
  }

  /** Stops reading and cancels the generation on the engine. */
  stop(): void {
    if (this.stopped) return;
    this.detach();
    const path = `/v1/streams/${encodeURIComponent(this.req.requestId)}`;
    // The engine drops streams that nobody reads, so a lost cancellation wastes
    // only the tokens generated until then.
    this.dispatcher
      .request({origin: this.origin, method: 'DELETE', path})
      .then(res => res.body.dump())
      .catch(() => undefined);
  }

  /**
   * Whether an unknown stream means that the engine never received the request.
   * An engine that crashed would have broken the connection instead of going silent.
   */
  private wasRequestLost(previousEnd: ConnectionEnd): boolean {
    return (
      this.isStartedHere && this.tokens === 0 && previousEnd.kind === 'silent'
    );
  }

  private streamPath(from: number): string {
    const id = encodeURIComponent(this.req.requestId);
    return `/v1/streams/${id}?from=${from}`;
  }

  private async follow(firstEnd: ConnectionEnd): Promise<GenerationEnd> {
    let end = firstEnd;
    for (let i = 0; i < this.timeouts.maxReattaches; i++) {
      if (this.stopped) return {kind: 'stopped'};
      if (end.kind !== 'broken' && end.kind !== 'silent') break;
      const previousEnd = end;
      if (end.kind === 'silent') renewConnections(this.dispatcher, this.origin);
      end = await this.connect('GET', this.streamPath(this.tokens));
      // A request sent on a connection that is already half-open never reaches
      // the engine: no data arrives, then the stream is unknown. Sending it again
      // cannot generate it twice, as the engine refuses a second request with the
      // id of a running generation.
      if (end.kind === 'unknown_stream' && this.wasRequestLost(previousEnd)) {
        end = await this.connect('POST', '/v1/completions');
        continue;
      }
      // A refused connection right after a broken one means that the process has
      // exited.
      if (end.kind === 'refused') return failWith('crashed');
      if (end.kind === 'unknown_stream') {
        return failWith(
          previousEnd.kind === 'silent' ? 'silent' : 'connection_lost',
        );
      }
    }
    if (this.stopped) return {kind: 'stopped'};
    return resolveEnd(end);
  }

  private async connect(
    method: 'POST' | 'GET',
    path: string,
  ): Promise<ConnectionEnd> {
    try {
      const res = await this.dispatcher.request({
        origin: this.origin,
        method,
        path,
        body: method === 'POST' ? this.buildBody() : null,
        headers:
          method === 'POST' ? {'content-type': 'application/json'} : undefined,
        headersTimeout: this.timeouts.progressMs,
        bodyTimeout: this.timeouts.progressMs,
        signal: this.abort.signal,
      });
      if (res.statusCode === 200) return await this.readBody(res.body);
      await res.body.dump();
      if (method === 'GET' && res.statusCode === 404) {
        return {kind: 'unknown_stream'};
      }
      return {kind: 'status', status: res.statusCode};
    } catch (err) {
      if (isNotConnected(err)) return {kind: 'refused'};
      return {kind: isResponseTimeout(err) ? 'silent' : 'broken'};
    }
  }

  private buildBody(): string {
    const {requestId, model, prompt, maxTokens, seed, resume} = this.req;
    return JSON.stringify({
      model,
      prompt,
      max_tokens: maxTokens,
      stream: true,
      request_id: requestId,
      seed,
      ...(resume ? {resume} : {}),
    });
  }

  private async readBody(body: Readable): Promise<ConnectionEnd> {
    let finishReason: string | undefined;
    let hasEndMarker = false;
    const parser = createParser({
      maxBufferSize: maxChunkChars,
      onEvent: event => {
        if (event.data === endMarker) {
          hasEndMarker = true;
          return;
        }
        finishReason = this.handleChunk(event.data) ?? finishReason;
      },
    });
    const decoder = new TextDecoder();
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk as Buffer, {stream: true}));
    }
    // A stream without the end marker was cut off; treating it as complete would
    // produce a truncated rollout.
    if (!hasEndMarker || finishReason === undefined) return {kind: 'broken'};
    return {kind: 'finished', finishReason};
  }

  private handleChunk(data: string): string | undefined {
    const chunk = chunkSchema.parse(JSON.parse(data));
    const [choice] = chunk.choices;
    if (chunk.tokens > 0) {
      this.tokens += chunk.tokens;
      this.onChunk({
        text: choice.text,
        tokens: chunk.tokens,
        weightVersion: chunk.weight_version,
      });
    }
    return choice.finish_reason ?? undefined;
  }
}

function failWith(failure: FailureKind): GenerationEnd {
  return {kind: 'failed', failure, sent: true};
}

function resolveEnd(end: ConnectionEnd): GenerationEnd {
  switch (end.kind) {
    case 'finished':
      return end;
    case 'refused':
      return {kind: 'failed', failure: 'connect_failed', sent: false};
    case 'silent':
      return failWith('silent');
    case 'status':
      return failWith(resolveStatusFailure(end.status));
    case 'unknown_stream':
    case 'broken':
      return failWith('connection_lost');
  }
}

function resolveStatusFailure(status: number): FailureKind {
  if (status === 429 || status === 503) return 'rejected';
  return status >= 500 ? 'server_error' : 'client_error';
}

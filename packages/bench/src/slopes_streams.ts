/** Measures the processor time that an owner spends per chunk of an engine's stream. */

import {Readable} from 'node:stream';
import {Dispatcher} from 'undici';
import {EngineStream} from '@radishyoke/wire/engine_stream';
import {createSlope, median, Slope} from './slope.js';

const streams = 50;
const chunksPerStream = 400;
const repeats = 5;

/** Tokens per chunk that docs/CAPACITY.md assumes of the engines. */
export const TOKENS_PER_CHUNK = 4;

/** Answers every request with the same stream, without a socket. */
class CannedDispatcher extends Dispatcher {
  constructor(private readonly pieces: readonly Buffer[]) {
    super();
  }

  override request(): Promise<Dispatcher.ResponseData> {
    const body = Readable.from(this.pieces);
    const response = {statusCode: 200, headers: {}, body};
    return Promise.resolve(response as unknown as Dispatcher.ResponseData);
  }
}

/** Measures decoding and handling of chunks, without the kernel's socket work. */
export async function* measureStreams(): AsyncGenerator<Slope> {
  const costs: number[] = [];
  for (let i = 0; i < repeats; i++) costs.push(await measureOnce());
  yield createSlope('stream_chunk_cpu_us', median(costs), 'us');
  yield createSlope('tokens_per_chunk', TOKENS_PER_CHUNK, 'tokens');
}

async function measureOnce(): Promise<number> {
  const http = new CannedDispatcher(createPieces());
  const before = process.cpuUsage();
  let tokens = 0;
  for (let i = 0; i < streams; i++) {
    const stream = new EngineStream(
      http,
      'http://127.0.0.1',
      {requestId: `r${i}`, model: 'm', prompt: '', maxTokens: 1, seed: 0},
      chunk => (tokens += chunk.tokens),
    );
    await stream.run();
  }
  const {user, system} = process.cpuUsage(before);
  const chunks = tokens / TOKENS_PER_CHUNK;
  return (user + system) / chunks;
}

function createPieces(): readonly Buffer[] {
  const chunk = (finishReason: string | null) =>
    Buffer.from(
      `data: ${JSON.stringify({
        id: 'trainer-1/step-1/0.0.7.1',
        choices: [{index: 0, text: ' move turn', finish_reason: finishReason}],
        tokens: TOKENS_PER_CHUNK,
        weight_version: 7,
      })}\n\n`,
    );
  const pieces = Array.from({length: chunksPerStream - 1}, () => chunk(null));
  return [...pieces, chunk('stop'), Buffer.from('data: [DONE]\n\n')];
}

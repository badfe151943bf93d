/**
 * Fetches the text of a committed sample again from the engine that generated
 * it.
 */

import type {Dispatcher as HttpDispatcher} from 'undici';
import type {SampleOutput} from '@radishyoke/core/steps/step_message';
import type {EndpointInfo} from '@radishyoke/shared/endpoint';
import type {CommittedSample} from '@radishyoke/shared/log_record';
import {EngineStream, GenerationChunk} from '@radishyoke/wire/engine_stream';
import {mergeSpans} from './sample_runner.js';

/**
 * Returns the output of a winner that an earlier owner committed, or undefined
 * if the engine no longer has it. `requestId` is the id under which the engine
 * ran it.
 */
export async function recoverWinner(
  committed: CommittedSample,
  engine: EndpointInfo,
  requestId: string,
  model: string,
  http: HttpDispatcher,
): Promise<SampleOutput | undefined> {
  const chunks: GenerationChunk[] = [];
  const stream = new EngineStream(
    http,
    `http://${engine.address}`,
    {requestId, model, prompt: '', maxTokens: 0, seed: 0},
    chunk => chunks.push(chunk),
  );
  const end = await stream.attach();
  if (end.kind !== 'finished') return undefined;
  const {group, sample, attempt, endpoint} = committed;
  return {
    group,
    sample,
    attempt,
    endpoint,
    text: chunks.map(chunk => chunk.text).join(''),
    spans: mergeSpans(chunks),
    finishReason: end.finishReason,
  };
}

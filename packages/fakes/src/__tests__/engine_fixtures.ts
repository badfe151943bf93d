/** Requests, and readers of an engine's streams, for the tests of engines. */

import {EngineRequest} from '../engine_event.js';

/** One request to `EngineModel`. */
export function createRequest(
  id: string,
  changes: Partial<EngineRequest> = {},
): EngineRequest {
  return {
    id,
    seed: 7,
    maxTokens: 1000,
    resumeTokens: 0,
    promptTokens: 100,
    prefixKey: 'prefix',
    promptKey: 'prompt',
    poison: false,
    ...changes,
  };
}

/** The body of `POST /v1/completions`. */
export function createBody(id: string, changes: object = {}): string {
  return JSON.stringify({
    model: 'tutor',
    prompt: 'Solve the puzzle.',
    max_tokens: 1000,
    stream: true,
    request_id: id,
    seed: 7,
    ...changes,
  });
}

/** What came out of one event stream. */
export interface Received {
  readonly status: number;
  readonly text: string;
  readonly tokens: number;
  /** Whether `[DONE]` came. */
  readonly done: boolean;
  readonly finishReason: string | null;
}

/** Tells from all tokens so far and the last version whether to stop reading. */
export type IsEnough = (tokens: number, weightVersion: number) => boolean;

/** Reads an event stream until it ends, breaks, or `isEnough` says so. */
export async function receive(
  url: string,
  init: RequestInit = {},
  isEnough: IsEnough = () => false,
): Promise<Received> {
  const res = await fetch(url, init);
  let text = '';
  let tokens = 0;
  let done = false;
  let finishReason: string | null = null;
  try {
    for await (const data of readEvents(res)) {
      if (data === '[DONE]') {
        done = true;
        continue;
      }
      const chunk = JSON.parse(data);
      text += chunk.choices[0].text;
      finishReason = chunk.choices[0].finish_reason;
      tokens += chunk.tokens;
      if (isEnough(tokens, chunk.weight_version)) break;
    }
  } catch {
    // The connection broke; what came before it counts.
  }
  return {status: res.status, text, tokens, done, finishReason};
}

/** The data of each event; leaving the loop closes the connection. */
async function* readEvents(res: Response): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const part of res.body ?? []) {
    const events = (rest + decoder.decode(part, {stream: true})).split('\n\n');
    rest = events.pop()!;
    for (const event of events) yield event.slice('data: '.length);
  }
}

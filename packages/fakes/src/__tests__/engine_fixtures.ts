/** Requests and a reader of event streams for tests of engines. */

import {EngineRequest} from '../engine_event.js';

/** Creates a request to `EngineModel`. */
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

/** Creates the body of `POST /v1/completions`. */
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

/** What was received from one event stream. */
export interface Received {
  readonly status: number;
  readonly text: string;
  readonly tokens: number;
  /** Whether `[DONE]` was received. */
  readonly done: boolean;
  readonly finishReason: string | null;
}

/** Decides from the tokens so far and the last weight version whether to stop reading. */
export type IsEnough = (tokens: number, weightVersion: number) => boolean;

/** Reads an event stream until it ends, breaks, or `isEnough` returns true. */
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
    // The connection broke; what was received before is returned.
  }
  return {status: res.status, text, tokens, done, finishReason};
}

/** Yields the data of each event; ending the iteration closes the connection. */
async function* readEvents(res: Response): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const part of res.body ?? []) {
    const events = (rest + decoder.decode(part, {stream: true})).split('\n\n');
    rest = events.pop()!;
    for (const event of events) yield event.slice('data: '.length);
  }
}

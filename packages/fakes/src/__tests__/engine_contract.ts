/** Tests of an engine's HTTP interface, with and without faults. */

import {loadReportSchema} from '@radishyoke/shared/endpoint';
import test, {ExecutionContext} from 'ava';
import type {RunEnd} from '../run_history.js';
import type {
  EngineFault,
  FakeEngine,
  FakeEngineOptions,
} from '../fake_engine.js';
import {readTokens} from '../token_text.js';
import {createBody, IsEnough, receive, Received} from './engine_fixtures.js';

const SEED = 7;
const TOKENS = 40;
const SHORT_TIMEOUT_MS = 150;

/** Starts an engine; implementations run it in different ways. */
export type StartEngine = (options: FakeEngineOptions) => Promise<FakeEngine>;

interface FaultCase {
  readonly name: string;
  readonly fault?: EngineFault;
  readonly options?: FakeEngineOptions;
  readonly prompt?: string;
  /** Whether the caller gives up early because no answer comes. */
  readonly hasShortTimeout?: boolean;
  /** Undefined if no answer begins. */
  readonly status?: number;
  readonly done: boolean;
  /** How the run ended by the engine's run history; undefined if it never ran. */
  readonly end?: RunEnd;
}

const FAULT_CASES: readonly FaultCase[] = [
  {name: 'no fault', status: 200, done: true, end: 'finished'},
  {
    name: 'slow',
    fault: {kind: 'slow', factor: 2},
    status: 200,
    done: true,
    end: 'finished',
  },
  {name: 'outage', fault: {kind: 'outage'}, status: 503, done: false},
  {name: 'broken connections', fault: {kind: 'unreachable'}, done: false},
  {
    name: 'a lost answer',
    fault: {kind: 'lose_answers', next: 1},
    done: false,
    end: 'finished',
  },
  {
    name: 'silent connections',
    fault: {kind: 'silent', connections: 'all'},
    hasShortTimeout: true,
    done: false,
  },
  {
    name: 'a crash in mid-stream',
    fault: {kind: 'crash_after_tokens', tokens: 10},
    status: 200,
    done: false,
    end: 'crashed',
  },
  {
    name: 'a request that crashes engines',
    prompt: 'a [[poison]] b',
    status: 200,
    done: false,
    end: 'crashed',
  },
  {name: 'no room', options: {maxWaiting: 0}, status: 429, done: false},
];

/** Registers the tests for one way of running an engine. */
export function testEngine(label: string, start: StartEngine): void {
  async function startFor(
    t: ExecutionContext,
    options: FakeEngineOptions = {},
  ) {
    const engine = await start({
      length: {medianTokens: TOKENS, sigma: 0},
      decodeBaseMs: 2,
      restartAfterMs: 50,
      swapMs: 10,
      ...options,
    });
    t.teardown(() => engine.close());
    return {engine, url: `http://${engine.address}`};
  }

  for (const c of FAULT_CASES)
    test(`${label}: completion, ${c.name}`, async t => {
      const {engine, url} = await startFor(t, c.options);
      if (c.fault) engine.faults.set(c.fault);
      const received = await complete(url, 'a', {
        prompt: c.prompt,
        ...(c.hasShortTimeout ? {timeoutMs: SHORT_TIMEOUT_MS} : {}),
      });
      t.is(received?.status, c.status);
      t.is(received?.done ?? false, c.done);
      engine.faults.clear();
      await waitUntil(() => engine.listRuns().every(run => run.end));
      t.is(engine.listRuns()[0]?.end, c.end);
      if (c.name === 'no room') return;
      const after = await completeWhenUp(url, 'after');
      t.is(readTokens(SEED, after.text)?.tokens, TOKENS);
    });

  test(`${label}: a cancelled request ends, and cancelling again changes nothing`, async t => {
    const {engine, url} = await startFor(t, {decodeBaseMs: 1000});
    const read = complete(url, 'a');
    await waitUntil(() => engine.listRuns().length === 1);
    for (const id of ['a', 'a', 'unknown']) {
      const method = 'DELETE';
      const res = await fetch(`${url}/v1/streams/${id}`, {method});
      t.is(res.status, 204);
    }
    t.false((await read)?.done ?? false);
    t.is(engine.listRuns()[0].end, 'cancelled');
  });

  test(`${label}: nothing is generated during a hang, and everything after it`, async t => {
    const {engine, url} = await startFor(t);
    engine.faults.set({kind: 'hang'});
    const read = complete(url, 'a');
    await waitUntil(() => engine.listRuns().length === 1);
    await new Promise(resolve => setTimeout(resolve, SHORT_TIMEOUT_MS));
    t.deepEqual(engine.listRuns()[0].spans, []);
    engine.faults.clear();
    t.true((await read)?.done);
  });

  test(`${label}: a second request with a running id is refused`, async t => {
    const {engine, url} = await startFor(t);
    engine.faults.set({kind: 'hang'});
    const first = complete(url, 'a');
    await waitUntil(() => engine.listRuns().length === 1);
    t.is((await complete(url, 'a'))?.status, 409);
    engine.faults.clear();
    t.true((await first)?.done);
  });

  test(`${label}: a stream resumes on another engine with its state`, async t => {
    const from = await startFor(t, {decodeBaseMs: 5});
    const to = await startFor(t);
    const isEnough = (tokens: number) => tokens >= 12;
    const part = await complete(from.url, 'a', {isEnough});
    const state = await fetch(`${from.url}/kv/a`);
    const body = Buffer.from(await state.arrayBuffer());
    const put = await fetch(`${to.url}/kv/a`, {method: 'PUT', body});
    t.is(put.status, 204);
    const {text, tokens} = part!;
    const rest = await complete(to.url, 'a', {resume: {text, tokens}});
    t.is(readTokens(SEED, text + rest!.text)?.tokens, TOKENS);
    t.is(to.engine.listRuns()[0].resumeTokens, tokens);
    t.is((await fetch(`${to.url}/kv/unknown`)).status, 404);
  });

  test(`${label}: a swap in mid-stream gives two spans`, async t => {
    const length = {medianTokens: 1000, sigma: 0};
    const {engine, url} = await startFor(t, {length, fetchMs: 0});
    const read = complete(url, 'a', {
      isEnough: (_, weightVersion) => weightVersion === 2,
    });
    await waitUntil(() => engine.listRuns()[0]?.spans.length === 1);
    t.is((await order(url, {fencing: 3, version: 2})).status, 202);
    const {spans} = readTokens(SEED, (await read)!.text)!;
    t.deepEqual(
      spans.map(s => s.weightVersion),
      [1, 2],
    );
    t.deepEqual(engine.listRuns()[0].spans[0], spans[0]);
  });

  test(`${label}: orders are answered by their outcome`, async t => {
    const {engine, url} = await startFor(t, {fetchMs: 0, swapMs: 0});
    t.is((await order(url, {fencing: 5, version: 2})).status, 202);
    const stale = await order(url, {fencing: 4, version: 3});
    t.is(stale.status, 409);
    t.deepEqual(await stale.json(), {error: 'stale_fencing', highest: 5});
    engine.faults.set({kind: 'fail_swap'});
    t.is((await order(url, {fencing: 6, version: 3})).status, 500);
    engine.faults.clear();
    engine.faults.set({kind: 'ignore_fencing'});
    t.is((await order(url, {fencing: 1, version: 4})).status, 202);
    await waitUntil(() => engine.readWeightVersion() === 4);
    t.is((await order(url, {fencing: -1, version: 4})).status, 400);
    const status = await (await fetch(`${url}/orders`)).json();
    t.deepEqual(status, {
      highestFencing: 6,
      weightVersion: 4,
      loading: null,
      lastError: null,
    });
  });

  test(`${label}: load and cache events are reported`, async t => {
    const lags = {loadLagMs: 0, cacheEventLagMs: 0, cacheEventGapEvery: 0};
    const {url} = await startFor(t, lags);
    await complete(url, 'a');
    const load = await (await fetch(`${url}/load`)).json();
    t.like(loadReportSchema.parse(load), {running: 0, weightVersion: 1});
    const feed = await (await fetch(`${url}/cache/events?from=0`)).json();
    t.like(feed, {next: 1, events: [{seq: 0, cached: true}]});
    const later = await (await fetch(`${url}/cache/events?from=1`)).json();
    t.deepEqual(later, {next: 1, events: []});
  });
}

interface CompleteOptions {
  readonly prompt?: string;
  readonly resume?: {readonly text: string; readonly tokens: number};
  readonly timeoutMs?: number;
  readonly isEnough?: IsEnough;
}

/** Requests a completion; undefined if no answer begins. */
async function complete(
  url: string,
  id: string,
  options: CompleteOptions = {},
): Promise<Received | undefined> {
  const {prompt = 'p', resume, timeoutMs, isEnough} = options;
  const signal = timeoutMs ? AbortSignal.timeout(timeoutMs) : undefined;
  const body = createBody(id, {prompt, resume});
  try {
    const init = {method: 'POST', body, signal};
    return await receive(`${url}/v1/completions`, init, isEnough);
  } catch {
    return undefined;
  }
}

/** Requests a completion again until the engine answers. */
async function completeWhenUp(url: string, id: string): Promise<Received> {
  for (;;) {
    const received = await complete(url, id);
    if (received) return received;
    await pause();
  }
}

function order(
  url: string,
  fields: {readonly fencing: number; readonly version: number},
): Promise<Response> {
  const body = JSON.stringify({kind: 'load_version', ...fields});
  return fetch(`${url}/orders`, {method: 'POST', body});
}

async function waitUntil(condition: () => unknown): Promise<void> {
  while (!condition()) await pause();
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 2));
}

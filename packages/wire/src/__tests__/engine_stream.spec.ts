import {
  EngineFault,
  FakeEngineOptions,
  startFakeEngine,
} from '@radishyoke/fakes/fake_engine';
import {readTokens} from '@radishyoke/fakes/token_text';
import test, {ExecutionContext} from 'ava';
import {EngineStream, GenerationEnd} from '../engine_stream.js';
import {RenewingAgent} from '../renewing_agent.js';

const SEED = 7;
const TOKENS = 60;
/** Short for cases in which the timeout must expire. */
const SHORT_PROGRESS_MS = 150;
const LONG_PROGRESS_MS = 20_000;

interface FaultCase {
  readonly name: string;
  readonly options?: FakeEngineOptions;
  /** Set when the first tokens have been received. */
  readonly midStreamFault?: EngineFault;
  /** Set before the request. */
  readonly initialFault?: EngineFault;
  readonly prompt?: string;
  readonly usesShortTimeout?: boolean;
  readonly end: GenerationEnd;
  /** Runs that the engine has recorded at the end. */
  readonly runs: number;
}

const FINISHED: GenerationEnd = {kind: 'finished', finishReason: 'stop'};

function fail(
  failure: Extract<GenerationEnd, {kind: 'failed'}>['failure'],
  sent = true,
): GenerationEnd {
  return {kind: 'failed', failure, sent};
}

const FAULT_CASES: readonly FaultCase[] = [
  {name: 'no fault', end: FINISHED, runs: 1},
  {
    name: 'the answer is lost before its first byte',
    initialFault: {kind: 'lose_answers', next: 1},
    end: FINISHED,
    runs: 1,
  },
  {
    name: 'open connections go silent in mid-stream',
    midStreamFault: {kind: 'silent', connections: 'open'},
    usesShortTimeout: true,
    end: FINISHED,
    runs: 1,
  },
  {
    name: 'all connections go silent in mid-stream',
    // Long enough that the generation cannot finish before the fault is set.
    options: {length: {medianTokens: 100_000, sigma: 0}},
    midStreamFault: {kind: 'silent', connections: 'all'},
    usesShortTimeout: true,
    end: fail('silent'),
    runs: 1,
  },
  {
    name: 'the process crashes in mid-stream',
    initialFault: {kind: 'crash_after_tokens', tokens: 20},
    options: {restartAfterMs: 60_000},
    end: fail('crashed'),
    runs: 1,
  },
  {
    name: 'the request crashes the engine',
    prompt: '[[poison]]',
    options: {restartAfterMs: 60_000},
    end: fail('crashed'),
    runs: 1,
  },
  {
    name: 'the engine accepts no more requests',
    options: {maxWaiting: 0},
    end: fail('rejected'),
    runs: 0,
  },
  {
    name: 'the engine is out of service',
    initialFault: {kind: 'outage'},
    end: fail('rejected'),
    runs: 0,
  },
];

async function startEngine(t: ExecutionContext, options?: FakeEngineOptions) {
  const engine = await startFakeEngine({
    length: {medianTokens: TOKENS, sigma: 0},
    decodeBaseMs: 4,
    ...options,
  });
  const agent = new RenewingAgent();
  t.teardown(async () => {
    await agent.destroy();
    await engine.close();
  });
  return {engine, agent, origin: `http://${engine.address}`};
}

function createRequest(requestId: string, prompt = 'p') {
  return {requestId, model: 'tutor', prompt, maxTokens: 1_000_000, seed: SEED};
}

for (const c of FAULT_CASES)
  test(`one generation: ${c.name}`, async t => {
    const {engine, agent, origin} = await startEngine(t, c.options);
    if (c.initialFault) engine.faults.set(c.initialFault);
    let text = '';
    let tokens = 0;
    const stream = new EngineStream(
      agent,
      origin,
      createRequest('a', c.prompt),
      chunk => {
        if (c.midStreamFault && tokens === 0)
          engine.faults.set(c.midStreamFault);
        text += chunk.text;
        tokens += chunk.tokens;
      },
      {
        progressMs: c.usesShortTimeout ? SHORT_PROGRESS_MS : LONG_PROGRESS_MS,
        maxReattaches: 3,
      },
    );
    t.deepEqual(await stream.run(), c.end);
    t.is(engine.listRuns().length, c.runs);
    // The received text has no gaps, whatever connections it arrived on.
    t.is(readTokens(SEED, text)?.tokens, tokens);
    if (c.end.kind === 'finished') t.is(tokens, TOKENS);
  });

// Guards against abandoning a sample although its engine works:
// 1. Many streams have ended, and their connections are idle in the pool.
// 2. A device in between loses the state of all of them; the engine keeps running.
// 3. Each reattachment would use another idle connection, which is silent as well.
test('idle connections that went silent do not use up the reattachments', async t => {
  const {engine, agent, origin} = await startEngine(t);
  const timeouts = {progressMs: SHORT_PROGRESS_MS, maxReattaches: 3};
  const create = (id: string, onChunk: () => void = () => {}) =>
    new EngineStream(agent, origin, createRequest(id), onChunk, timeouts);
  const earlierRuns = Array.from({length: 6}, (_, i) =>
    create(`many-${i}`).run(),
  );
  await Promise.all(earlierRuns);
  engine.faults.set({kind: 'silent', connections: 'open'});
  t.deepEqual(await create('a').run(), FINISHED);
});

import test from 'ava';
import fc from 'fast-check';
import type {EngineEvent} from '../engine_event.js';
import {EngineModel} from '../engine_model.js';
import type {EngineOptions} from '../engine_options.js';
import {addToSpans} from '../token_text.js';
import {createRequest} from './engine_fixtures.js';

const FAST_CHECK_SEED = 20_240_601;

type Chunk = Extract<EngineEvent, {kind: 'chunk'}>;

/** Advances the model one event at a time; returns all events until `untilMs`. */
function run(model: EngineModel, untilMs: number): EngineEvent[] {
  const events: EngineEvent[] = [];
  while (model.nextEventAtMs() <= untilMs)
    events.push(...model.advance(model.nextEventAtMs()));
  events.push(...model.advance(untilMs));
  return events;
}

/** Returns the time until the last of `count` equal requests has finished, ms. */
function measureDuration(
  count: number,
  options: Partial<EngineOptions> = {},
  prepare: (model: EngineModel) => void = () => {},
): number {
  const length = {medianTokens: 100, sigma: 0};
  const model = new EngineModel({length, ...options});
  prepare(model);
  for (let i = 0; i < count; i++) model.submit(createRequest(`r${i}`), 0);
  const chunks = run(model, 1e6).filter(e => e.kind === 'chunk') as Chunk[];
  return Math.max(...chunks.filter(c => c.finishReason).map(c => c.atMs));
}

test('service time grows with batch size, prompt length and slow factor', t => {
  const alone = measureDuration(1);
  t.is(alone, 100 * 0.05 + 100 * (8 + 0.25));
  // The first of 16 runs its first iteration alone and ends one before the others.
  const fullIterationMs = 4 * (8 + 0.25 * 16);
  t.is(measureDuration(16), 5 + 4 * 8.25 + 24 * fullIterationMs + 4 * 11.75);
  const queued = measureDuration(2, {maxBatch: 1, cacheTokens: 0});
  t.is(queued, 2 * alone);
  const slowed = measureDuration(1, {}, model => model.setSlowFactor(3));
  t.is(slowed, 3 * alone);
});

test('a resumed request prefills its output too, or nothing if its state was imported', t => {
  const measure = (resumeTokens: number, isImported: boolean) => {
    const model = new EngineModel({length: {medianTokens: 100, sigma: 0}});
    const state = {id: 'a', promptTokens: 100, outputTokens: resumeTokens};
    if (isImported) model.importKv(state);
    model.submit(createRequest('a', {resumeTokens}), 0);
    return Math.max(...run(model, 1e6).map(event => event.atMs));
  };
  const decodeMs = 60 * 8.25;
  t.is(measure(40, false), 140 * 0.05 + decodeMs);
  t.is(measure(40, true), decodeMs);
  t.is(measure(0, true), 100 * 0.05 + 100 * 8.25);
});

test('a prompt is prefilled once while its prefix is cached', t => {
  const model = new EngineModel({
    length: {medianTokens: 4, sigma: 0},
    cacheTokens: 150,
    cacheEventGapEvery: 3,
  });
  const durations: number[] = [];
  let nowMs = 0;
  for (const key of ['a', 'a', 'b', 'a']) {
    const req = createRequest(`r${durations.length}`, {
      prefixKey: key,
      promptKey: key,
    });
    model.submit(req, nowMs);
    const endMs = model.nextEventAtMs();
    durations.push(endMs - nowMs);
    nowMs = endMs;
    model.advance(nowMs);
  }
  // Caching `b` evicts `a`.
  t.deepEqual(durations, [38, 33, 38, 38]);
  const early = model.listCacheEvents(0, nowMs);
  t.deepEqual(early.events, [], 'events are delayed');
  const shown = model.listCacheEvents(0, nowMs + 1000).events;
  t.true(shown.every(e => e.seq % 3 !== 2) && shown.length > 0);
});

test('the load report lags by loadLagMs', t => {
  const length = {medianTokens: 1000, sigma: 0};
  const model = new EngineModel({loadLagMs: 500, length});
  model.submit(createRequest('a'), 1000);
  t.like(model.reportLoad(1400), {running: 0, measuredAtMs: 900});
  t.like(model.reportLoad(1600), {running: 1, measuredAtMs: 1100});
  model.advance(3500);
  const tokens = model.reportLoad(3500).tokensPerSecond;
  t.true(tokens > 100 && tokens < 125, `${tokens}`);
});

interface SwapCase {
  readonly name: string;
  readonly options?: Partial<EngineOptions>;
  readonly prepare: (model: EngineModel) => void;
  readonly answers: readonly string[];
  readonly version: number;
}

const SWAP_CASES: readonly SwapCase[] = [
  {
    name: 'no fault',
    prepare: () => {},
    answers: ['begun', 'stale_fencing'],
    version: 2,
  },
  {
    name: 'fencing is not checked',
    options: {checksFencing: false},
    prepare: () => {},
    answers: ['begun', 'begun'],
    version: 3,
  },
  {
    name: 'the swap fails at once',
    prepare: model => model.setSwapFailure('at_once'),
    answers: ['failed', 'stale_fencing'],
    version: 1,
  },
  {
    name: 'the swap fails later',
    prepare: model => model.setSwapFailure('later'),
    answers: ['begun', 'stale_fencing'],
    version: 1,
  },
  {
    name: 'the engine is down',
    prepare: model => model.crash(0),
    answers: ['failed', 'failed'],
    version: 1,
  },
];

for (const c of SWAP_CASES)
  test(`two orders, the second with an older fencing number: ${c.name}`, t => {
    const model = new EngineModel(c.options);
    c.prepare(model);
    const kind = 'load_version';
    const answers = [
      model.order({kind, fencing: 5, version: 2}, 0),
      model.order({kind, fencing: 4, version: 3}, 0),
    ];
    t.deepEqual(
      answers.map(answer => answer.kind),
      c.answers,
    );
    model.advance(60_000);
    const status = model.describeOrders(60_000);
    t.like(status, {weightVersion: c.version, loading: null});
    t.is(status.lastError !== null, c.name.startsWith('the swap'));
  });

type ModelAction =
  | {readonly kind: 'submit'; readonly req: number; readonly poison: boolean}
  | {readonly kind: 'cancel'; readonly req: number}
  | {readonly kind: 'order'; readonly version: number}
  | {readonly kind: 'crash' | 'hang' | 'go_on'};

const reqArb = fc.nat(40);
const actionArb: fc.Arbitrary<ModelAction> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      req: reqArb,
      poison: fc.nat(30).map(n => n === 0),
    }),
  },
  fc.record({kind: fc.constant('cancel' as const), req: reqArb}),
  fc.record({kind: fc.constant('order' as const), version: fc.nat(5)}),
  fc.record({kind: fc.constantFrom('crash', 'hang', 'go_on')}),
);

const scheduleArb = fc.array(fc.tuple(fc.nat(400), actionArb), {maxLength: 60});
type Schedule = ReadonlyArray<readonly [delayMs: number, action: ModelAction]>;

const END_MS = 10_000_000;

/** Runs a schedule; `advance` decides in what steps time advances between actions. */
function runActions(
  schedule: Schedule,
  advance: (model: EngineModel, untilMs: number) => readonly EngineEvent[],
) {
  const model = new EngineModel({
    maxBatch: 4,
    length: {medianTokens: 30, sigma: 1},
    restartAfterMs: 200,
  });
  const events: EngineEvent[] = [];
  let nowMs = 0;
  for (const [delayMs, action] of schedule) {
    nowMs += delayMs;
    events.push(...advance(model, nowMs));
    applyAction(model, action, nowMs);
  }
  model.setHung(false, nowMs);
  events.push(...advance(model, END_MS));
  return {events, runs: model.listRuns(), running: model.reportLoad(END_MS)};
}

function applyAction(
  model: EngineModel,
  action: ModelAction,
  nowMs: number,
): void {
  switch (action.kind) {
    case 'submit': {
      const {req, poison} = action;
      model.submit(createRequest(`r${req}`, {seed: req, poison}), nowMs);
      return;
    }
    case 'cancel':
      model.cancel(`r${action.req}`, nowMs);
      return;
    case 'order': {
      const {version} = action;
      model.order({kind: 'load_version', fencing: 1, version}, nowMs);
      return;
    }
    case 'crash':
      return model.crash(nowMs);
    case 'hang':
    case 'go_on':
      return model.setHung(action.kind === 'hang', nowMs);
  }
}

test('events do not depend on the steps in which time advances', t => {
  fc.assert(
    fc.property(scheduleArb, schedule => {
      const coarse = runActions(schedule, (model, untilMs) =>
        model.advance(untilMs),
      );
      const fine = runActions(schedule, run);
      t.deepEqual(coarse.events, fine.events);
      t.deepEqual(coarse.runs, fine.runs);
    }),
    {seed: FAST_CHECK_SEED, numRuns: 200},
  );
});

test('the run history has each streamed token, and each run ends once', t => {
  fc.assert(
    fc.property(scheduleArb, schedule => {
      const {events, runs, running} = runActions(schedule, run);
      t.like(running, {running: 0, waiting: 0, waitingPromptTokens: 0});
      t.true(runs.every(r => r.end !== undefined));
      const streamed = collectSpans(events);
      const recorded = runs.map(r => ({id: r.requestId, spans: r.spans}));
      const withTokens = recorded.filter(r => r.spans.length > 0);
      t.deepEqual(sortRuns(streamed), sortRuns(withTokens));
      const finishes = events.filter(e => e.kind === 'chunk' && e.finishReason);
      t.is(finishes.length, runs.filter(r => r.end === 'finished').length);
    }),
    {seed: FAST_CHECK_SEED, numRuns: 200},
  );
});

interface StreamedRun {
  readonly id: string;
  readonly spans: ReadonlyArray<{weightVersion: number; tokens: number}>;
}

/** Groups chunks into runs; a run begins with token 0. */
function collectSpans(events: readonly EngineEvent[]): StreamedRun[] {
  const all: StreamedRun[] = [];
  const open = new Map<string, {weightVersion: number; tokens: number}[]>();
  for (const event of events) {
    if (event.kind !== 'chunk' || event.tokens === 0) continue;
    if (event.firstToken === 0) {
      open.set(event.id, []);
      all.push({id: event.id, spans: open.get(event.id)!});
    }
    addToSpans(open.get(event.id)!, event.weightVersion, event.tokens);
  }
  return all;
}

function sortRuns(runs: readonly StreamedRun[]): readonly string[] {
  return runs.map(run => JSON.stringify(run)).sort();
}

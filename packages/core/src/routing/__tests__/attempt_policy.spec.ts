import test from 'ava';
import fc from 'fast-check';
import {
  type AttemptEnd,
  type AttemptTally,
  decideNextStep,
  measureHedgeMs,
  type NextStep,
  type RequestTerms,
} from '../attempt_policy.js';

const REPEATABLE: RequestTerms = {
  isRepeatable: true,
  attempts: 2,
  objectiveMs: 200,
};
const ONCE: RequestTerms = {...REPEATABLE, isRepeatable: false};

interface PolicyCase {
  readonly name: string;
  readonly terms: RequestTerms;
  readonly end: AttemptEnd;
  readonly tally: Partial<AttemptTally>;
  readonly expected: NextStep['kind'];
}

const CASES: readonly PolicyCase[] = [
  {
    name: 'a success is passed on',
    terms: REPEATABLE,
    end: {kind: 'answered', status: 200},
    tally: {ran: 1},
    expected: 'pass_on',
  },
  {
    name: 'a failure of a repeatable request is retried on another endpoint',
    terms: REPEATABLE,
    end: {kind: 'answered', status: 500},
    tally: {ran: 1},
    expected: 'try_again',
  },
  {
    name: 'the last failure is passed on',
    terms: REPEATABLE,
    end: {kind: 'answered', status: 500},
    tally: {ran: 2},
    expected: 'pass_on',
  },
  {
    name: 'a failure of a request that may run only once is passed on',
    terms: ONCE,
    end: {kind: 'answered', status: 500},
    tally: {ran: 1},
    expected: 'pass_on',
  },
  {
    name: 'a request that an endpoint refused is retried, whatever its kind',
    terms: ONCE,
    end: {kind: 'not_run'},
    tally: {notRun: 1},
    expected: 'try_again',
  },
  {
    name: 'a request that no endpoint ran is refused after the last retry',
    terms: ONCE,
    end: {kind: 'not_run'},
    tally: {notRun: 4},
    expected: 'refuse',
  },
  {
    name: 'a request that may have run is never reported as refused',
    terms: REPEATABLE,
    end: {kind: 'not_run'},
    tally: {ran: 1, notRun: 4},
    expected: 'fail',
  },
  {
    name: 'an unknown outcome ends a request that may run only once',
    terms: ONCE,
    end: {kind: 'unknown'},
    tally: {ran: 1},
    expected: 'fail',
  },
];

for (const {name, terms, end, tally, expected} of CASES) {
  test(name, t => {
    const fullTally = {ran: 0, notRun: 0, ...tally};
    t.is(decideNextStep(terms, end, fullTally).kind, expected);
  });
}

test('only repeatable requests with an attempt left are hedged', t => {
  t.is(measureHedgeMs(REPEATABLE), 120);
  t.is(measureHedgeMs({...REPEATABLE, objectiveMs: 10}), 60);
  t.is(measureHedgeMs({...REPEATABLE, attempts: 1}), undefined);
  t.is(measureHedgeMs(ONCE), undefined);
});

const anyEnd: fc.Arbitrary<AttemptEnd> = fc.oneof(
  fc.constant({kind: 'not_run'} as const),
  fc.constant({kind: 'unknown'} as const),
  fc.record({
    kind: fc.constant('answered' as const),
    status: fc.constantFrom(200, 404, 500, 503),
  }),
);
const anyTerms: fc.Arbitrary<RequestTerms> = fc.record({
  isRepeatable: fc.boolean(),
  attempts: fc.integer({min: 1, max: 4}),
  objectiveMs: fc.constant(200),
});

/** Runs attempts that end as in `ends` one after another, as the forwarder does. */
function runAttempts(terms: RequestTerms, ends: readonly AttemptEnd[]) {
  let ran = 0;
  let notRun = 0;
  for (const end of ends) {
    if (end.kind === 'not_run') notRun += 1;
    else ran += 1;
    const {kind} = decideNextStep(terms, end, {ran, notRun});
    if (kind !== 'try_again') return {ran, outcome: kind};
  }
  return {ran, outcome: undefined};
}

// Guards against a caller that repeats a payment already made: an attempt may have
// run, later ones are refused, and the response states that the request did not run.
test('a refused request never ran, and no request runs too often', t => {
  fc.assert(
    fc.property(
      anyTerms,
      fc.array(anyEnd, {minLength: 1, maxLength: 12}),
      (terms, ends) => {
        const {ran, outcome} = runAttempts(terms, ends);
        if (outcome === 'refuse') t.is(ran, 0);
        t.true(ran <= (terms.isRepeatable ? terms.attempts : 1));
      },
    ),
    {seed: 5, numRuns: 5000},
  );
});

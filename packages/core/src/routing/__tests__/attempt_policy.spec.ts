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
    name: 'a failure of a repeatable request is tried elsewhere',
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
    name: 'a failure of a request that may run once is passed on',
    terms: ONCE,
    end: {kind: 'answered', status: 500},
    tally: {ran: 1},
    expected: 'pass_on',
  },
  {
    name: 'what an endpoint refused goes to another, whatever its kind',
    terms: ONCE,
    end: {kind: 'not_run'},
    tally: {notRun: 1},
    expected: 'try_again',
  },
  {
    name: 'a request that nobody ran is refused in the end',
    terms: ONCE,
    end: {kind: 'not_run'},
    tally: {notRun: 4},
    expected: 'refuse',
  },
  {
    name: 'a request that may have run is never refused',
    terms: REPEATABLE,
    end: {kind: 'not_run'},
    tally: {ran: 1, notRun: 4},
    expected: 'fail',
  },
  {
    name: 'an unknown outcome ends a request that may run once',
    terms: ONCE,
    end: {kind: 'unknown'},
    tally: {ran: 1},
    expected: 'fail',
  },
];

for (const {name, terms, end, tally, expected} of CASES) {
  test(name, t => {
    const full = {ran: 0, notRun: 0, ...tally};
    t.is(decideNextStep(terms, end, full).kind, expected);
  });
}

test('only repeatable requests with an attempt to spare are hedged', t => {
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

/** Plays attempts that end as `ends` say, one after the other, as the forwarder does. */
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

// A caller sends a payment again that was made, or gives up one that was not.
// 1. An attempt may have run; the next ones are refused.
// 2. The caller is told that its request has not run.
test('whatever endpoints do, a refusal is true and nothing runs too often', t => {
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

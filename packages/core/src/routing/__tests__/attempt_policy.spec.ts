import test from 'ava';
import {
  type AttemptEnd,
  type AttemptTally,
  decideNext,
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
    t.is(decideNext(terms, end, full).kind, expected);
  });
}

test('only repeatable requests with an attempt to spare are hedged', t => {
  t.is(measureHedgeMs(REPEATABLE), 120);
  t.is(measureHedgeMs({...REPEATABLE, objectiveMs: 10}), 60);
  t.is(measureHedgeMs({...REPEATABLE, attempts: 1}), undefined);
  t.is(measureHedgeMs(ONCE), undefined);
});

import test from 'ava';
import {chooseEndpoint, type EndpointCandidate} from '../endpoint_choice.js';

function createCandidate(
  id: string,
  extra: Partial<EndpointCandidate> = {},
): EndpointCandidate {
  return {
    id,
    slots: 6,
    dataCentre: 'near',
    inFlight: 0,
    reportedLoad: 0,
    failures: 0,
    failedAtMs: -Infinity,
    ...extra,
  };
}

const NONE: ReadonlySet<string> = new Set();

test('the least loaded endpoint is chosen, near ones first among equals', t => {
  const busy = createCandidate('busy', {inFlight: 3});
  const far = createCandidate('far', {dataCentre: 'far'});
  const near = createCandidate('near');
  t.is(chooseEndpoint([busy, far, near], NONE, 'near', 0, 0)?.id, 'near');
  t.is(chooseEndpoint([busy, far], NONE, 'near', 0, 0)?.id, 'far');
  t.is(chooseEndpoint([busy], new Set(['busy']), 'near', 0, 0), undefined);
});

// Requests are lost one after another at an endpoint that has crashed.
// 1. It refuses connections and so has nothing in flight.
// 2. By load alone it is the best choice for every request.
// Cause: an endpoint that fails fast looks idle.
test('an endpoint that fails is avoided for a while, longer each time', t => {
  const failed = createCandidate('failed', {failures: 1, failedAtMs: 1000});
  const busy = createCandidate('busy', {inFlight: 7});
  const choose = (nowMs: number, failures: number) =>
    chooseEndpoint([{...failed, failures}, busy], NONE, 'near', 0, nowMs)?.id;
  t.is(choose(1499, 1), 'busy');
  t.is(choose(1500, 1), 'failed');
  t.is(choose(2999, 3), 'busy');
  t.is(choose(5000, 9), 'failed');
});

// A burst opens so many connections that endpoints reset them.
// 1. Endpoints slow down and requests pile up at each of them.
// 2. Every VM adds more, and connections over the limit are reset in mid-request.
test('an endpoint that has all that this VM may keep there is not chosen', t => {
  const full = createCandidate('full', {inFlight: 8});
  t.is(chooseEndpoint([full], NONE, 'near', 0, 0), undefined);
});

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

test('the least loaded endpoint is chosen, preferring near ones at equal load', t => {
  const busy = createCandidate('busy', {inFlight: 3});
  const far = createCandidate('far', {dataCentre: 'far'});
  const near = createCandidate('near');
  t.is(chooseEndpoint([busy, far, near], NONE, 'near', 0, 0)?.id, 'near');
  t.is(chooseEndpoint([busy, far], NONE, 'near', 0, 0)?.id, 'far');
  t.is(chooseEndpoint([busy], new Set(['busy']), 'near', 0, 0), undefined);
});

// Guards against sending every request to a crashed endpoint: it refuses
// connections, has nothing in flight and so looks like the least loaded one.
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

// Guards against connection resets in a burst: endpoints slow down, every VM keeps
// adding requests, and connections over the limit are reset in mid-request.
test('an endpoint with the maximum number of requests of this VM is not chosen', t => {
  const full = createCandidate('full', {inFlight: 8});
  t.is(chooseEndpoint([full], NONE, 'near', 0, 0), undefined);
});

import test from 'ava';
import {
  fingerprintRequest,
  type RequestContent,
} from '../request_fingerprint.js';

function createContent(extra: Partial<RequestContent> = {}): RequestContent {
  return {
    method: 'POST',
    host: 'app.example',
    path: '/orders/7',
    body: Buffer.from('one'),
    ...extra,
  };
}

test('a repeated request has the same fingerprint', t => {
  t.is(
    fingerprintRequest(createContent()),
    fingerprintRequest(createContent()),
  );
});

// Guards against a request being blamed for another one.
test('requests that differ in any part have different fingerprints', t => {
  const all = [
    createContent(),
    createContent({method: 'PUT'}),
    createContent({host: 'other.example'}),
    createContent({path: '/orders/7?all'}),
    createContent({account: 'a'}),
    createContent({account: 'b'}),
    createContent({body: Buffer.from('two')}),
    createContent({path: '/orders/7one', body: Buffer.alloc(0)}),
  ].map(fingerprintRequest);
  t.is(new Set(all).size, all.length);
});

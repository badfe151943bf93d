import http from 'node:http';
import test from 'ava';
import fc from 'fast-check';
import {
  isHeaderName,
  isHeaderValue,
  isHost,
  isRequestId,
  isRequestPath,
} from '../http_syntax.js';

const textArbitrary = fc.oneof(
  fc.string({unit: 'binary'}),
  fc.string({unit: 'binary-ascii'}),
  fc.uint8Array().map(bytes => Buffer.from(bytes).toString('latin1')),
);
const RUNS = {seed: 57, numRuns: 20_000};

function isValid(check: () => void): boolean {
  try {
    check();
    return true;
  } catch {
    return false;
  }
}

// Guards against texts that Node.js refuses once they have been accepted.
test('names and values of headers are those that Node.js accepts', t => {
  fc.assert(
    fc.property(textArbitrary, text => {
      const isName = isValid(() => http.validateHeaderName(text));
      const isValue = isValid(() => http.validateHeaderValue('a', text));
      return isHeaderName(text) === isName && isHeaderValue(text) === isValue;
    }),
    RUNS,
  );
  t.pass();
});

test('a request can be created with each accepted id, host and path', t => {
  const agent = new http.Agent();
  const create = (options: http.RequestOptions) => {
    const req = http.request({agent, port: 1, ...options});
    req.on('error', () => undefined).destroy();
  };
  const path = textArbitrary.map(text => `/${text}`);
  let accepted = 0;
  fc.assert(
    fc.property(textArbitrary, path, (text, path) => {
      if (isRequestId(text) || isHost(text)) {
        accepted += 1;
        http.validateHeaderValue('id', text);
      }
      if (!isRequestPath(path)) return;
      accepted += 1;
      create({path});
    }),
    {...RUNS, numRuns: 5000},
  );
  t.true(accepted > 1000, `${accepted} were accepted`);
});

test('ids do not begin or end with blanks, which a receiver would strip', t => {
  t.true(isRequestId('a b'));
  for (const text of ['', ' a', 'a ', 'a\n', '\u0131'])
    t.false(isRequestId(text));
  for (const text of ['', 'a', '/a b', '/\u0131', '/\u00e9']) {
    t.false(isRequestPath(text));
  }
});

import test from 'ava';
import fc from 'fast-check';
import {
  decodeCompletion,
  decodeKvState,
  decodeOrder,
} from '../completion_request.js';
import {HttpFailure} from '../http_server.js';

const PARAMETERS = {seed: 20_240_605, numRuns: 2000};

const fieldArb = fc.oneof(
  fc.jsonValue(),
  fc.constantFrom<unknown>(undefined, -1, 0, 1, 0.5, 2 ** 53, '', 'a', true),
  fc.record({text: fc.string(), tokens: fc.integer()}),
);

const bodyArb = fc.record(
  {
    model: fieldArb,
    prompt: fc.oneof(fc.string(), fieldArb),
    max_tokens: fc.oneof(fc.nat(), fieldArb),
    stream: fc.oneof(fc.constant(true), fieldArb),
    request_id: fc.oneof(fc.string(), fieldArb),
    seed: fc.oneof(fc.nat(), fieldArb),
    resume: fieldArb,
    fencing: fc.oneof(fc.nat(), fieldArb),
    kind: fc.oneof(fc.constantFrom('load_version', 'set_role'), fieldArb),
    version: fc.oneof(fc.nat(), fieldArb),
  },
  {requiredKeys: []},
);

/** Returns the result of `decode`, undefined if it throws 400; rethrows other errors. */
function tryDecode<T>(decode: () => T): T | undefined {
  try {
    return decode();
  } catch (err) {
    if (err instanceof HttpFailure && err.status === 400) return undefined;
    throw err;
  }
}

const isCount = (value: number) => Number.isSafeInteger(value) && value >= 0;

test('a body is refused with 400 or decoded to valid counts and ids', t => {
  let accepted = 0;
  fc.assert(
    fc.property(bodyArb, body => {
      const req = tryDecode(() => decodeCompletion(body));
      const order = tryDecode(() => decodeOrder(body));
      const counts = [
        ...(req ? [req.seed, req.maxTokens, req.resumeTokens] : []),
        ...(order ? [order.fencing] : []),
        ...(order?.kind === 'load_version' ? [order.version] : []),
      ];
      if (req || order) accepted++;
      t.true(counts.every(isCount));
      t.not(req?.id, '');
    }),
    PARAMETERS,
  );
  t.true(accepted > 100, 'enough bodies pass the validation');
});

test('arbitrary bytes as an exported state are refused with 400 or decoded', t => {
  const stateArb = fc.record({promptTokens: fieldArb, outputTokens: fieldArb});
  const bytesArb = fc.oneof(
    fc.uint8Array().map(bytes => Buffer.from(bytes)),
    fc.oneof(fc.jsonValue(), stateArb).map(v => Buffer.from(JSON.stringify(v))),
  );
  fc.assert(
    fc.property(bytesArb, bytes => {
      const state = tryDecode(() => decodeKvState('a', bytes));
      t.true(!state || isCount(state.promptTokens + state.outputTokens));
    }),
    PARAMETERS,
  );
});

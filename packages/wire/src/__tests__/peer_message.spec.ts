import test from 'ava';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from '../peer_message.js';
import {anyMessage} from './peer_fixture.js';

const RUNS = {seed: 20261202, numRuns: 500};

test('every message reads back as it was', t => {
  const property = fc.property(anyMessage, message => {
    const decoded = decodePeerMessage(encodePeerMessage(message));
    t.deepEqual(decoded, {ok: true, value: message});
  });
  fc.assert(property, RUNS);
});

// A peer of another version, or a broken one, sends bytes that are no message.
// A decoder that throws takes the VM down with all its callers.
test('bytes that are no message are refused, never thrown on', t => {
  const bytes = fc.uint8Array({maxLength: 300});
  const noise = fc.property(bytes, data => {
    const decoded = decodePeerMessage(Buffer.from(data));
    t.true(decoded.ok || decoded.error.kind === 'bad_request');
  });
  fc.assert(noise, RUNS);
  // Near misses reach further into the decoder than noise does.
  const damaged = fc.property(
    anyMessage,
    fc.nat(),
    fc.nat(255),
    fc.boolean(),
    (message, at, byte, cut) => {
      const data = encodePeerMessage(message);
      data[at % data.length] = byte;
      const decoded = decodePeerMessage(
        cut ? data.subarray(0, at % data.length) : data,
      );
      t.true(decoded.ok || decoded.error.kind === 'bad_request');
    },
  );
  fc.assert(damaged, RUNS);
});

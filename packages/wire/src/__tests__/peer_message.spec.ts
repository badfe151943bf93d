import test from 'ava';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from '../peer_message.js';
import {messageArb} from './peer_fixture.js';

const PARAMETERS = {seed: 20261202, numRuns: 500};

test('every message reads back as it was', t => {
  const roundTrip = fc.property(messageArb, message => {
    const decoded = decodePeerMessage(encodePeerMessage(message));
    t.deepEqual(decoded, {ok: true, value: message});
  });
  fc.assert(roundTrip, PARAMETERS);
});

// A peer of another version, or a broken one, sends bytes that are no message.
// A decoder that throws takes the VM down with all its callers.
test('bytes that are no message are refused, never thrown on', t => {
  const bytes = fc.uint8Array({maxLength: 300});
  const noise = fc.property(bytes, data => {
    const decoded = decodePeerMessage(Buffer.from(data));
    t.true(decoded.ok || decoded.error.kind === 'bad_request');
  });
  fc.assert(noise, PARAMETERS);
  // Near misses reach further into the decoder than noise does.
  const damaged = fc.property(
    messageArb,
    fc.nat(),
    fc.nat(255),
    fc.boolean(),
    (message, position, byte, isTruncated) => {
      const data = encodePeerMessage(message);
      data[position % data.length] = byte;
      const decoded = decodePeerMessage(
        isTruncated ? data.subarray(0, position % data.length) : data,
      );
      t.true(decoded.ok || decoded.error.kind === 'bad_request');
    },
  );
  fc.assert(damaged, PARAMETERS);
});

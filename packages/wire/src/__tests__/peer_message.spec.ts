import test from 'ava';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from '../peer_message.js';
import {messageArb} from './peer_fixture.js';

const PARAMETERS = {seed: 20261202, numRuns: 500};

test('every message is equal after encoding and decoding', t => {
  const roundTrip = fc.property(messageArb, message => {
    const decoded = decodePeerMessage(encodePeerMessage(message));
    t.deepEqual(decoded, {ok: true, value: message});
  });
  fc.assert(roundTrip, PARAMETERS);
});

// A faulty peer or one of another version may send invalid bytes. An exception of the
// decoder would terminate the VM and fail all its callers.
test('invalid bytes are refused without an exception', t => {
  const bytes = fc.uint8Array({maxLength: 300});
  const noise = fc.property(bytes, data => {
    const decoded = decodePeerMessage(Buffer.from(data));
    t.true(decoded.ok || decoded.error.kind === 'bad_request');
  });
  fc.assert(noise, PARAMETERS);
  // Slightly damaged messages get further into the decoder than random bytes do.
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

import fc from 'fast-check';
import type {CheckpointPart} from '@radishyoke/shared/log_record';
import test from 'ava';
import {CheckpointAssembler, splitCheckpoint} from '../checkpoint.js';
import {createStamp, RecordFixture} from '../../simulation/log_fixtures.js';

// Two VMs write checkpoints at the same time and one of them crashes midway.
// Its parts must neither count as complete nor be mixed with those of the other
// VM.
test('parts of several writers in any order yield only complete checkpoints', t => {
  const bodies = ['a', 'b'].map(vm =>
    splitCheckpoint(7, {[vm]: 'x'.repeat(150_000)}),
  );
  const parts = [
    ...bodies[0]!.map(body => ({
      ...body,
      stamp: createStamp('a', body.part + 1),
    })),
    ...bodies[1]!
      .slice(1)
      .map(body => ({...body, stamp: createStamp('b', body.part + 1)})),
  ];
  fc.assert(
    fc.property(
      fc.shuffledSubarray(parts, {minLength: parts.length}),
      shuffled => {
        const stream = new RecordFixture<CheckpointPart>();
        const assembler = new CheckpointAssembler();
        const completed = shuffled
          .flatMap(part => [part, part])
          .map(part => assembler.add(stream.append(part, 5)))
          .filter(checkpoint => checkpoint !== undefined);
        t.true(completed.length >= 1);
        for (const {text, asOf} of completed) {
          t.is(asOf, 7);
          t.deepEqual(Object.keys(JSON.parse(text)), ['a']);
        }
      },
    ),
    {seed: 5, numRuns: 50},
  );
});

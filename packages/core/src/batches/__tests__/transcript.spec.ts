import test from 'ava';
import {Transcript} from '../transcript.js';
import {createEvent} from './batch_fixtures.js';

function createTranscript(ids: readonly number[], run: string): Transcript {
  const transcript = new Transcript();
  for (const id of ids) transcript.append(createEvent(id, run));
  return transcript;
}

test('an event that does not follow the last one is rejected', t => {
  const text = createTranscript([4, 5], 'a');
  t.false(text.append(createEvent(5, 'a')));
  t.false(text.append(createEvent(7, 'a')));
  t.true(text.append(createEvent(6, 'a')));
  t.is(text.joinOutput(), '4\n5\n6');
});

// Guards against output that no single engine generated.
// 1. VMs a and b run one item at once, each from event 3 of an earlier run.
// 2. Both store their events, with the same ids.
// This happens if events are joined by id alone.
test('events of a run are joined only to the output that the run resumed', t => {
  const text = createTranscript([1, 2, 3], 'first');
  t.true(text.join('first', [createEvent(4, 'a'), createEvent(5, 'a')]));
  t.false(text.join('b', [createEvent(6, 'b')]));
  t.is(text.lastEventId, 5);
  t.true(text.join('first', [createEvent(4, 'b')]));
  t.deepEqual(
    text.events.map(({run}) => run),
    ['first', 'first', 'first', 'b'],
  );
  t.false(text.join('a', [createEvent(6, 'a')]));
});

test('events that start the output replace the stored ones', t => {
  const text = createTranscript([1, 2, 3], 'old');
  t.true(text.join(undefined, [createEvent(1, 'new')]));
  t.is(text.events.length, 1);
});

test('output satisfies a requirement if its versions do', t => {
  const text = new Transcript();
  text.append(createEvent(1, 'a', 6));
  t.true(text.satisfies({minVersion: 6, singleVersion: true}));
  t.false(text.satisfies({minVersion: 7, singleVersion: false}));
  text.append(createEvent(2, 'a', 7));
  t.deepEqual(text.listVersions(), [6, 7]);
  t.true(text.satisfies({minVersion: 6, singleVersion: false}));
  t.false(text.satisfies({minVersion: 6, singleVersion: true}));
});

test('output is complete until an event is added or it is cleared', t => {
  const text = createTranscript([1, 2], 'a');
  t.false(text.isComplete);
  text.finish();
  t.true(text.isComplete);
  t.true(text.join('a', [createEvent(3, 'a')]));
  t.false(text.isComplete);
  text.finish();
  text.clear();
  t.false(text.isComplete);
});

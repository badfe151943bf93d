import test from 'ava';
import type {ConfigRecord} from '@radishyoke/shared/log_record';
import {ConfigHistory, NO_VERSION} from '../config_history.js';
import {
  publishConfig,
  RecordFixture,
  TEAM,
} from '../../simulation/log_fixtures.js';

const checkText = (text: string) => (text === 'bad' ? 'is bad' : undefined);

// An operator's change vanishes.
// 1. Two operators read version 0 and publish at once, each from version 0.
// 2. Both are told that all went well; the later one undid the other's change.
// Cause: a publication that does not say what it was based on.
test('of two publications from one version the first in the log wins', t => {
  const stream = new RecordFixture<ConfigRecord>();
  const history = new ConfigHistory(checkText);
  const publish = (vm: string, basedOn: number, text: string) =>
    history.apply(stream.add(vm, publishConfig(basedOn, text), 7));
  t.deepEqual(publish('a', NO_VERSION, 'one'), {kind: 'accepted', version: 0});
  t.deepEqual(publish('a', 0, 'two'), {kind: 'accepted', version: 1});
  t.deepEqual(publish('b', 0, 'three'), {
    kind: 'lost_race',
    basedOn: 0,
    current: 1,
    author: 'op',
  });
  t.deepEqual(publish('b', 1, 'bad'), {kind: 'invalid', problem: 'is bad'});
  t.is(history.apply(stream.append(stream.records[1]!.value, 9)).kind, 'copy');
  t.is(history.current(TEAM)?.text, 'two');
  t.deepEqual(
    history.outcomeOf(stream.records[2]!.value.stamp)?.kind,
    'lost_race',
  );
  t.deepEqual(
    history.history(TEAM).map(v => v.version),
    [0, 1],
  );
});

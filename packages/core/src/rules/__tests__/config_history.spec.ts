import test from 'ava';
import type {ConfigRecord} from '@radishyoke/shared/log_record';
import {ConfigHistory, NO_VERSION} from '../config_history.js';
import {
  publishConfig,
  RecordFixture,
  TEAM,
} from '../../simulation/log_fixtures.js';

const checkText = (text: string) => (text === 'bad' ? 'is bad' : undefined);

// Guards against a lost update: two operators read version 0 and publish at the
// same time. If a publication did not name the version it is based on, both
// would succeed and the later one would undo the other's change.
test('of two publications based on the same version the first in the log wins', t => {
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

import {EventEmitter} from 'node:events';
import test from 'ava';
import {ProcessSignals} from '../process_signals.js';

// Guards against a reload or stop request that is lost because its signal
// arrives while the program is still loading.
test('signals received before there is a listener are delivered in order', t => {
  const source = new EventEmitter();
  const signals = new ProcessSignals(source);
  source.emit('SIGHUP');
  source.emit('SIGTERM');
  const seen: string[] = [];
  signals.listen(signal => seen.push(signal));
  t.deepEqual(seen, ['SIGHUP', 'SIGTERM']);
  source.emit('SIGINT');
  source.emit('SIGHUP');
  t.deepEqual(seen, ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGHUP']);
});

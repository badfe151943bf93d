import {EventEmitter} from 'node:events';
import test from 'ava';
import {ProcessSignals} from '../process_signals.js';

// A reload or an end that was asked for while a program loaded is forgotten.
// 1. Signals come before there is anybody to act on them.
// 2. The VM is built and listens.
test('signals that came before somebody listens are handed over in their order', t => {
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

import {readFileSync} from 'node:fs';
import test from 'ava';
import {renderReference} from '../keys_command.js';

// An operator sets a key as the page says and the process refuses it.
// Cause: a key was renamed or got another range and the page was forgotten.
test('docs/CONFIGURATION.md is what the schema says', t => {
  const page = new URL('../../../../docs/CONFIGURATION.md', import.meta.url);
  t.is(readFileSync(page, 'utf8'), `${renderReference()}\n`);
});

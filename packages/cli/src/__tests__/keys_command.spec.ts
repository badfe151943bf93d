import {readFileSync} from 'node:fs';
import test from 'ava';
import {renderReference} from '../keys_command.js';

// Guards against a page that lags behind the schema: a key was renamed or its range
// changed, and the process rejects what an operator set by the page.
test('docs/CONFIGURATION.md matches the schema', t => {
  const page = new URL('../../../../docs/CONFIGURATION.md', import.meta.url);
  t.is(readFileSync(page, 'utf8'), `${renderReference()}\n`);
});

import {readFileSync} from 'node:fs';
import test from 'ava';
import {ADMIN_ROUTES} from '../admin_route.js';

// Guards against a route that is added or changed without updating the page, so
// that an operator finds the wrong role for a call or no entry.
test('docs/ADMINISTRATION.md lists every call with its role', t => {
  const url = new URL('../../../../../docs/ADMINISTRATION.md', import.meta.url);
  const lines = readFileSync(url, 'utf8').split('\n');
  for (const {method, path, role, platformOnly, answer} of ADMIN_ROUTES) {
    const call = `| \`${method} ${path}`;
    const line = lines.find(
      candidate =>
        /^[`?]/.test(candidate.slice(call.length)) &&
        candidate.startsWith(call),
    );
    const access = platformOnly ? `${role}, platform team` : role;
    t.true(line?.includes(` | ${access} | \`${answer}\`: `), call);
  }
});

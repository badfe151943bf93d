/** The form in which paths are compared with the prefixes of rules. */

const NEEDS_WORK = /[?#%\\]|\/\/|\/\.|\/$/;
const DOT_SEGMENT_OR_ESCAPE = /%|\\|\/\./;

/**
 * Drops the query, empty segments and a slash at the end, and resolves dot
 * segments and escapes.
 *
 * A caller may write `/x/../orders` or `/%6frders`; an endpoint that resolves
 * it would run what the rule for `/orders` refuses. Comparing the resolved form
 * leaves no second spelling of a path.
 */
export function canonicalPath(path: string): string {
  if (!NEEDS_WORK.test(path)) return path;
  let pure = path.split(/[?#]/, 1)[0];
  if (DOT_SEGMENT_OR_ESCAPE.test(pure)) pure = resolveSegments(pure);
  return pure.replace(/\/{2,}/g, '/').replace(/\/$/, '');
}

function resolveSegments(path: string): string {
  const kept: string[] = [];
  for (const segment of unescapePath(path).replace(/\\/g, '/').split('/')) {
    if (segment === '..') kept.pop();
    else if (segment !== '.' && segment !== '') kept.push(segment);
  }
  return `/${kept.join('/')}`;
}

function unescapePath(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}

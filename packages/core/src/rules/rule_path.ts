/** The form in which paths are compared with the prefixes of rules. */

const NON_CANONICAL = /[?#%\\]|\/\/|\/\.|\/$/;
const DOT_SEGMENT_OR_ESCAPE = /%|\\|\/\./;

/**
 * Drops the query, empty segments and a slash at the end, and resolves dot
 * segments and escapes.
 *
 * A caller may write `/x/../orders` or `/%6frders`; an endpoint that resolves
 * it would run what the rule for `/orders` refuses. Comparing the resolved form
 * leaves no second spelling of a path.
 */
export function canonicalizePath(path: string): string {
  if (!NON_CANONICAL.test(path)) return path;
  let pathname = path.split(/[?#]/, 1)[0];
  if (DOT_SEGMENT_OR_ESCAPE.test(pathname))
    pathname = resolveSegments(pathname);
  return pathname.replace(/\/{2,}/g, '/').replace(/\/$/, '');
}

function resolveSegments(path: string): string {
  const segments: string[] = [];
  for (const segment of unescapePath(path).replace(/\\/g, '/').split('/')) {
    if (segment === '..') segments.pop();
    else if (segment !== '.' && segment !== '') segments.push(segment);
  }
  return `/${segments.join('/')}`;
}

function unescapePath(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch {
    return path;
  }
}

/**
 * Canonicalizes request paths before they are compared with the path prefixes
 * of rules.
 */

const NON_CANONICAL = /[?#%\\]|\/\/|\/\.|\/$/;
const DOT_SEGMENT_OR_ESCAPE = /%|\\|\/\./;

/**
 * Removes the query, empty segments and a trailing slash, and resolves dot
 * segments and percent-encoding.
 *
 * Without this a caller could bypass a rule that refuses `/orders` by sending
 * `/x/../orders` or `/%6frders`, which the endpoint resolves to the same path.
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

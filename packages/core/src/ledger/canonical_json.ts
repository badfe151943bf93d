/** One text for one value, so that digests of equal values are equal. */

/**
 * JSON with the keys of every object in order and undefined members left out. A
 * log service may store a record in a form that does not keep the order of keys.
 */
export function canonicalizeJson(value: unknown): string {
  return JSON.stringify(value, (_key, member: unknown) => {
    if (typeof member !== 'object' || member === null) return member;
    if (Array.isArray(member)) return member;
    const entries = Object.entries(member);
    entries.sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries);
  });
}
